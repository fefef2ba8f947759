package org.hickorymoor.domain.lease;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Timing of the ownership lease.
 *
 * @param leaseMs duration of the lease on a worker, measured on the worker's clock
 * @param marginMs time before expiry at which the holder already treats the lease as expired, to
 *     allow for clocks that run at different rates
 */
public record LeaseSettings(long leaseMs, long marginMs) {

  /** Checks that the margin is positive and less than half of the lease. */
  public LeaseSettings {
    checkArgument(
        marginMs > 0 && leaseMs > 2 * marginMs,
        "leaseMs must be more than twice marginMs, got leaseMs %s and marginMs %s",
        leaseMs,
        marginMs);
  }
}
