/** The HTTP interface for callers and operators, as {@code docs/API.md} states. */
@NullMarked
package org.hickorymoor.daemon.http;

import org.jspecify.annotations.NullMarked;
