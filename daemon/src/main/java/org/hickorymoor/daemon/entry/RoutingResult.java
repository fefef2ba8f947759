package org.hickorymoor.daemon.entry;

import org.hickorymoor.daemon.peer.PeerReply;
import org.jspecify.annotations.Nullable;

/**
 * What became of a request that was routed.
 *
 * @param reply the answer of a coordinator, or null if none could be had in time
 * @param maybeDelivered whether some coordinator may have got the request without its answer having
 *     come back
 */
public record RoutingResult(@Nullable PeerReply reply, boolean maybeDelivered) {}
