package org.hickorymoor.domain.lease;

/**
 * The ownership leases in a worker's task list.
 *
 * @param ownListed whether the requesting host's own lease is active
 * @param ownLeaseUntilMs time on the worker's clock at which the own lease expires; 0 if not listed
 * @param othersListed whether another lease is active, be it another host's or an older own one
 */
public record LeaseView(boolean ownListed, long ownLeaseUntilMs, boolean othersListed) {}
