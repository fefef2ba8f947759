/** Requests and responses of the client HTTP API specified in {@code docs/API.md}. */
@NullMarked
package org.hickorymoor.protocol.caller;

import org.jspecify.annotations.NullMarked;
