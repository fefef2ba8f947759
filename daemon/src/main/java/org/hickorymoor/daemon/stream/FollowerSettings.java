package org.hickorymoor.daemon.stream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a {@link LogFollower} reads.
 *
 * @param maxRecords most records asked for in one read
 * @param waitMs longest time that the log holds back an empty answer
 * @param timeoutMs time for an answer beyond {@code waitMs}
 * @param minBackOffMs first pause after a failure
 * @param maxBackOffMs longest pause after failures
 */
public record FollowerSettings(
    int maxRecords, long waitMs, long timeoutMs, long minBackOffMs, long maxBackOffMs) {

  /** Settings for ordinary use. */
  public static final FollowerSettings DEFAULT = new FollowerSettings(256, 1000, 2000, 50, 2000);

  /** Checks the ranges. */
  public FollowerSettings {
    checkArgument(maxRecords >= 1, "maxRecords must be at least 1, got %s", maxRecords);
    checkArgument(waitMs >= 1, "waitMs must be at least 1, got %s", waitMs);
    checkArgument(timeoutMs >= 1, "timeoutMs must be at least 1, got %s", timeoutMs);
    checkArgument(minBackOffMs >= 1, "minBackOffMs must be at least 1, got %s", minBackOffMs);
    checkArgument(
        maxBackOffMs >= minBackOffMs,
        "maxBackOffMs must be at least minBackOffMs, got %s",
        maxBackOffMs);
  }
}
