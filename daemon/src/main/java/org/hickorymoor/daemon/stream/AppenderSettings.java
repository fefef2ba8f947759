package org.hickorymoor.daemon.stream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link BatchAppender}.
 *
 * @param maxBatchBytes maximum size of a record
 * @param maxQueuedBytes maximum total size of the unconfirmed entries
 * @param timeoutMs timeout for one append
 * @param minBackoffMs delay after the first failure
 * @param maxBackoffMs maximum delay after repeated failures
 */
public record AppenderSettings(
    int maxBatchBytes, long maxQueuedBytes, long timeoutMs, long minBackoffMs, long maxBackoffMs) {

  /** Default settings. */
  public static final AppenderSettings DEFAULT =
      new AppenderSettings(128 * 1024, 2 * 1024 * 1024, 2000, 50, 2000);

  /** Maximum record size that the log accepts. */
  private static final int MAX_RECORD_BYTES = 256 * 1024;

  /** Checks the ranges. */
  public AppenderSettings {
    checkArgument(
        maxBatchBytes >= 1024 && maxBatchBytes <= MAX_RECORD_BYTES,
        "maxBatchBytes must be from 1024 to %s, got %s",
        MAX_RECORD_BYTES,
        maxBatchBytes);
    checkArgument(maxQueuedBytes >= 1, "maxQueuedBytes must be at least 1, got %s", maxQueuedBytes);
    checkArgument(timeoutMs >= 1, "timeoutMs must be at least 1, got %s", timeoutMs);
    checkArgument(minBackoffMs >= 1, "minBackoffMs must be at least 1, got %s", minBackoffMs);
    checkArgument(
        maxBackoffMs >= minBackoffMs,
        "maxBackoffMs must be at least minBackoffMs, got %s",
        maxBackoffMs);
  }
}
