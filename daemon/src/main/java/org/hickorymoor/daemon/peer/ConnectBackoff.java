package org.hickorymoor.daemon.peer;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Spaces out connects to a peer that fail, with a wait that doubles and half of it jitter.
 *
 * <p>Not safe for use by several threads.
 */
final class ConnectBackoff {

  private final long minWaitMs;
  private final long maxWaitMs;
  private long waitMs;
  private long failedAtNs;
  private long jitteredWaitMs;

  ConnectBackoff(long minWaitMs, long maxWaitMs) {
    this.minWaitMs = minWaitMs;
    this.maxWaitMs = maxWaitMs;
  }

  /** Returns how long to wait before the next connect; 0 for no wait. */
  long remainingMs(long nowNs) {
    long passedMs = TimeUnit.NANOSECONDS.toMillis(nowNs - failedAtNs);
    return jitteredWaitMs == 0 ? 0 : Math.max(0, jitteredWaitMs - passedMs);
  }

  void recordFailure(long nowNs) {
    waitMs = waitMs == 0 ? minWaitMs : Math.min(maxWaitMs, 2 * waitMs);
    jitteredWaitMs = ThreadLocalRandom.current().nextLong(waitMs / 2, waitMs) + 1;
    failedAtNs = nowNs;
  }

  void recordSuccess() {
    waitMs = 0;
    jitteredWaitMs = 0;
  }
}
