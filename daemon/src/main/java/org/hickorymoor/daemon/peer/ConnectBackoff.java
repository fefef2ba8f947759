package org.hickorymoor.daemon.peer;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Exponential backoff between failed connection attempts to a peer: the wait doubles with each
 * failure, and up to half of it is random jitter.
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

  /** Returns the time until the next connection attempt is allowed; 0 if it is allowed now. */
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
