package org.hickorymoor.daemon.shard;

import java.util.concurrent.TimeUnit;

/**
 * Notices that the loop's thread runs late for a while, as on a host that has become slow. Belongs
 * to the thread of the loop.
 */
final class EventLoopLagMonitor {

  /** Pace of the checks. */
  private static final long CHECK_INTERVAL_MS = 100;

  /** A healthy loop runs its timers within a few milliseconds. */
  private static final long LATE_THRESHOLD_MS = 60;

  /** Late checks in a row that tell a slow host from a pause for the garbage collector. */
  private static final int MIN_LATE_CHECKS = 4;

  private final ShardEventLoop loop;
  private final Runnable onSlow;
  private int consecutiveLateChecks;
  private boolean closed;

  EventLoopLagMonitor(ShardEventLoop loop, Runnable onSlow) {
    this.loop = loop;
    this.onSlow = onSlow;
  }

  void start() {
    long beganNs = loop.nowNs();
    loop.schedule(CHECK_INTERVAL_MS, () -> check(beganNs));
  }

  void close() {
    closed = true;
  }

  private void check(long beganNs) {
    if (closed) {
      return;
    }
    long lateMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - beganNs) - CHECK_INTERVAL_MS;
    consecutiveLateChecks = lateMs > LATE_THRESHOLD_MS ? consecutiveLateChecks + 1 : 0;
    if (consecutiveLateChecks >= MIN_LATE_CHECKS) {
      consecutiveLateChecks = 0;
      onSlow.run();
    }
    start();
  }
}
