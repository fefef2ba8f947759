package org.hickorymoor.domain.lease;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times of the ownership lease.
 *
 * @param leaseMs length of the lease that a holder keeps on each worker, on the worker's clock
 * @param marginMs how much earlier the holder counts it as passed, to allow for clocks that run at
 *     different speeds
 */
public record LeaseSettings(long leaseMs, long marginMs) {

  /** Checks the ranges. */
  public LeaseSettings {
    checkArgument(
        marginMs > 0 && leaseMs > 2 * marginMs,
        "leaseMs must be more than twice marginMs, got leaseMs %s and marginMs %s",
        leaseMs,
        marginMs);
  }
}
