/** Client of the caller's HTTP interface: several servers, retries within a budget. */
@NullMarked
package org.hickorymoor.cli.client;

import org.jspecify.annotations.NullMarked;
