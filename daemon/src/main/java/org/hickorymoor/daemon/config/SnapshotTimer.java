package org.hickorymoor.daemon.config;

import java.util.function.DoubleSupplier;

/**
 * Determines when the next snapshot is due.
 *
 * <p>The interval has jitter, so that usually one host writes a snapshot and the others read it
 * before theirs is due. Duplicate snapshots by several hosts are harmless. Not thread-safe.
 */
final class SnapshotTimer {

  /** Snapshots per retention period of the log; more than one, so that some may be lost. */
  private static final int SNAPSHOTS_PER_RETENTION = 4;

  /** Largest random extension of the interval and of the number of publications, as a fraction. */
  private static final double JITTER_FRACTION = 0.25;

  /** Upper bound of the random delay before the first snapshot if none is known yet. */
  private static final long MAX_FIRST_SNAPSHOT_DELAY_MS = 10_000;

  private final int recordsPerSnapshot;
  private final DoubleSupplier random;
  private double jitter;
  private boolean snapshotKnown;
  private long intervalStartMs;
  private int publications;

  SnapshotTimer(int recordsPerSnapshot, long nowMs, DoubleSupplier random) {
    this.recordsPerSnapshot = recordsPerSnapshot;
    this.intervalStartMs = nowMs;
    this.random = random;
    drawJitter();
  }

  void snapshotRead(long nowMs, long ageMs) {
    snapshotKnown = true;
    intervalStartMs = nowMs - Math.max(0, ageMs);
    publications = 0;
    drawJitter();
  }

  /**
   * Restarts the interval when this host appends a snapshot, so that it does not append another one
   * before the first has been read back. A lost append is made up for after the next interval.
   */
  void snapshotAppended(long nowMs) {
    snapshotRead(nowMs, 0);
  }

  void publicationRead() {
    publications++;
  }

  boolean isDue(long nowMs, long retentionMs) {
    double intervalFactor = 1 + JITTER_FRACTION * jitter;
    if (publications >= recordsPerSnapshot * intervalFactor) {
      return true;
    }
    long intervalMs = retentionMs / SNAPSHOTS_PER_RETENTION;
    double waitMs =
        snapshotKnown
            ? intervalMs * intervalFactor
            : Math.min(MAX_FIRST_SNAPSHOT_DELAY_MS, intervalMs) * jitter;
    return nowMs - intervalStartMs >= waitMs;
  }

  private void drawJitter() {
    jitter = random.getAsDouble();
  }
}
