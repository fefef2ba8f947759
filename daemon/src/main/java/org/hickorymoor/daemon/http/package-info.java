/** The HTTP interface for callers and operators, specified in {@code docs/API.md}. */
@NullMarked
package org.hickorymoor.daemon.http;

import org.jspecify.annotations.NullMarked;
