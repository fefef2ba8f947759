package org.hickorymoor.domain.lease;

/**
 * What one list from a worker shows of ownership leases.
 *
 * @param ownListed whether the asking host's own ownership lease is alive
 * @param ownLeaseUntilMs worker time at which it passes; 0 if not listed
 * @param othersListed whether an ownership lease of anybody else is alive
 */
public record LeaseView(boolean ownListed, long ownLeaseUntilMs, boolean othersListed) {}
