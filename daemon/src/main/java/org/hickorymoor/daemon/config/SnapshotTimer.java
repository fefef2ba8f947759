package org.hickorymoor.daemon.config;

import java.util.function.DoubleSupplier;

/**
 * Says when the next snapshot is due.
 *
 * <p>The time has jitter, so that of many hosts usually one writes a snapshot and the others see it
 * before theirs is due. Snapshots of several hosts do no harm. Not safe for use by several threads.
 */
final class SnapshotTimer {

  /** Snapshots within the retention of the log, so that the loss of some does no harm. */
  private static final int SNAPSHOTS_PER_RETENTION = 4;

  /** Part of the interval that is drawn at random. */
  private static final double JITTER = 0.25;

  /** Longest wait where no snapshot was ever seen. */
  private static final long FIRST_SNAPSHOT_MS = 10_000;

  private final int recordsPerSnapshot;
  private final DoubleSupplier random;
  private double jitter;
  private boolean seen;
  private long sinceMs;
  private int publications;

  SnapshotTimer(int recordsPerSnapshot, long nowMs, DoubleSupplier random) {
    this.recordsPerSnapshot = recordsPerSnapshot;
    this.sinceMs = nowMs;
    this.random = random;
    drawJitter();
  }

  void snapshotSeen(long nowMs, long ageMs) {
    seen = true;
    sinceMs = nowMs - Math.max(0, ageMs);
    publications = 0;
    drawJitter();
  }

  /** Notes an own append, so that none follows before it is read back or was lost. */
  void snapshotSent(long nowMs) {
    snapshotSeen(nowMs, 0);
  }

  void publicationSeen() {
    publications++;
  }

  boolean isDue(long nowMs, long retentionMs) {
    double stretch = 1 + JITTER * jitter;
    if (publications >= recordsPerSnapshot * stretch) {
      return true;
    }
    long intervalMs = retentionMs / SNAPSHOTS_PER_RETENTION;
    double waitMs = seen ? intervalMs * stretch : Math.min(FIRST_SNAPSHOT_MS, intervalMs) * jitter;
    return nowMs - sinceMs >= waitMs;
  }

  private void drawJitter() {
    jitter = random.getAsDouble();
  }
}
