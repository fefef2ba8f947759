package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;

import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Limit on the usable capacity of a worker.
 *
 * @param sharePercent usable share of its declared capacity
 * @param max additional upper bound of each resource, or null for none
 */
public record WorkerLimit(int sharePercent, @Nullable Resources max) {

  /** The whole declared capacity. */
  public static final WorkerLimit DEFAULT = new WorkerLimit(100, null);

  private static final int MAX_SHARE_PERCENT = 100;

  /** Checks the range. */
  public WorkerLimit {
    checkArgument(
        sharePercent >= 0 && sharePercent <= MAX_SHARE_PERCENT,
        "sharePercent must be from 0 to 100, got %s",
        sharePercent);
  }

  /**
   * Returns the usable capacity of a worker.
   *
   * @param declared declared capacity of the worker
   * @return the minimum of the share and {@link #max} for each resource, never above {@code
   *     declared}
   */
  public Resources applyTo(Resources declared) {
    Resources limit = max == null ? declared : max;
    return new Resources(
        usable(declared.slots(), limit.slots()),
        usable(declared.connections(), limit.connections()),
        usable(declared.cpuMillis(), limit.cpuMillis()),
        usable(declared.memoryMb(), limit.memoryMb()),
        usable(declared.accelerators(), limit.accelerators()));
  }

  private int usable(int declared, int limit) {
    long share = (long) declared * sharePercent / MAX_SHARE_PERCENT;
    return (int) Math.min(share, limit);
  }
}
