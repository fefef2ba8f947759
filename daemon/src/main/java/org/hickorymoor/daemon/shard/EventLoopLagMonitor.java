package org.hickorymoor.daemon.shard;

import java.util.concurrent.TimeUnit;

/**
 * Detects that the event loop runs late for a while, as on a host that has become slow. Not
 * thread-safe; confined to the event loop thread.
 */
final class EventLoopLagMonitor {

  private static final long CHECK_INTERVAL_MS = 100;

  /** A healthy loop runs its timers within a few milliseconds. */
  private static final long LATE_THRESHOLD_MS = 60;

  /** Consecutive late checks that distinguish a slow host from a garbage collection pause. */
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
