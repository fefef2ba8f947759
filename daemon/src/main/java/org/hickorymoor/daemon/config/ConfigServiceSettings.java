package org.hickorymoor.daemon.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.hickorymoor.daemon.stream.FollowerSettings;

/**
 * How a {@link ConfigService} works.
 *
 * @param follower how the stream is read
 * @param publishTimeoutMs time after which a publish appends no more, and answers once its last
 *     append is answered
 * @param appendTimeoutMs time for one append
 * @param snapshotCheckMs how often a snapshot is considered
 * @param recordsPerSnapshot publications after which a snapshot is due, however young the last is
 */
public record ConfigServiceSettings(
    FollowerSettings follower,
    long publishTimeoutMs,
    long appendTimeoutMs,
    long snapshotCheckMs,
    int recordsPerSnapshot) {

  /** Settings for ordinary use; few records at a time, since each holds a whole configuration. */
  public static final ConfigServiceSettings DEFAULT =
      new ConfigServiceSettings(
          new FollowerSettings(16, 1_000, 2_000, 50, 2_000), 10_000, 2_000, 1_000, 32);

  /** Checks the ranges. */
  public ConfigServiceSettings {
    requireNonNull(follower, "follower");
    checkArgument(
        publishTimeoutMs >= 1, "publishTimeoutMs must be at least 1, got %s", publishTimeoutMs);
    checkArgument(
        appendTimeoutMs >= 1, "appendTimeoutMs must be at least 1, got %s", appendTimeoutMs);
    checkArgument(
        snapshotCheckMs >= 1, "snapshotCheckMs must be at least 1, got %s", snapshotCheckMs);
    checkArgument(
        recordsPerSnapshot >= 1,
        "recordsPerSnapshot must be at least 1, got %s",
        recordsPerSnapshot);
  }
}
