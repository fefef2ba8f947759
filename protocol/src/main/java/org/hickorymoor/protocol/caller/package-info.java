/** Records of the caller's HTTP interface, as {@code docs/API.md} states them. */
@NullMarked
package org.hickorymoor.protocol.caller;

import org.jspecify.annotations.NullMarked;
