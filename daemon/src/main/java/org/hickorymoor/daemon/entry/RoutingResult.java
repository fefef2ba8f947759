package org.hickorymoor.daemon.entry;

import org.hickorymoor.daemon.peer.PeerReply;
import org.jspecify.annotations.Nullable;

/**
 * Outcome of a routed request.
 *
 * @param reply reply of a coordinator, or null if there was none before the timeout
 * @param maybeDelivered whether a coordinator may have executed the request in an attempt that it
 *     did not answer, or answered with an error
 */
public record RoutingResult(@Nullable PeerReply reply, boolean maybeDelivered) {}
