package org.hickorymoor.daemon.stream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a {@link LogFollower} reads.
 *
 * @param maxRecords most records asked for in one read
 * @param waitMs longest time that the log holds back an empty answer
 * @param timeoutMs time for an answer beyond {@code waitMs}
 * @param minBackoffMs first pause after a failure
 * @param maxBackoffMs longest pause after failures
 */
public record FollowerSettings(
    int maxRecords, long waitMs, long timeoutMs, long minBackoffMs, long maxBackoffMs) {

  /** Settings for ordinary use. */
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
