package org.hickorymoor.daemon.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.hickorymoor.daemon.stream.FollowerSettings;

/**
 * Settings of a {@link ConfigService}.
 *
 * @param follower settings for reading the stream
 * @param publishTimeoutMs time after which a publish is not appended again; it completes when an
 *     append in progress has completed
 * @param appendTimeoutMs timeout of one append
 * @param snapshotCheckMs interval of the checks whether a snapshot is due
 * @param recordsPerSnapshot number of publications after which a snapshot is due, regardless of the
 *     age of the last one
 */
public record ConfigServiceSettings(
    FollowerSettings follower,
    long publishTimeoutMs,
    long appendTimeoutMs,
    long snapshotCheckMs,
    int recordsPerSnapshot) {

  /**
   * Default settings. The follower reads few records at a time because each record holds a whole
   * configuration.
   */
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
