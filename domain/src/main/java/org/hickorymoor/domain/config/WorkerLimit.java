package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;

import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * How much of a worker may be used.
 *
 * @param sharePercent share of its declared capacity
 * @param max most of each resource on top of that, or null for no further limit
 */
public record WorkerLimit(int sharePercent, @Nullable Resources max) {

  /** All of a worker. */
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
   * Returns what may be used of a worker.
   *
   * @param declared its declared capacity
   * @return the lower of the share and the limit, resource by resource, never above {@code
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
