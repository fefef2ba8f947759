package org.hickorymoor.daemon.stream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link LogFollower}.
 *
 * @param maxRecords maximum number of records per read
 * @param waitMs maximum time that the log delays an empty reply (long poll)
 * @param timeoutMs timeout for a reply, in addition to {@code waitMs}
 * @param minBackoffMs delay after the first failure
 * @param maxBackoffMs maximum delay after repeated failures
 */
public record FollowerSettings(
    int maxRecords, long waitMs, long timeoutMs, long minBackoffMs, long maxBackoffMs) {

  /** Default settings. */
  public static final FollowerSettings DEFAULT = new FollowerSettings(256, 1000, 2000, 50, 2000);

  /** Checks the ranges. */
  public FollowerSettings {
    checkArgument(maxRecords >= 1, "maxRecords must be at least 1, got %s", maxRecords);
    checkArgument(waitMs >= 1, "waitMs must be at least 1, got %s", waitMs);
    checkArgument(timeoutMs >= 1, "timeoutMs must be at least 1, got %s", timeoutMs);
    checkArgument(minBackoffMs >= 1, "minBackoffMs must be at least 1, got %s", minBackoffMs);
    checkArgument(
        maxBackoffMs >= minBackoffMs,
        "maxBackoffMs must be at least minBackoffMs, got %s",
        maxBackoffMs);
  }
}
