package org.hickorymoor.daemon.stream;

import java.util.concurrent.ThreadLocalRandom;

/** Pauses that double with each failure in a row, with jitter. Not safe for several threads. */
final class BackOff {

  private static final int MAX_DOUBLINGS = 20;

  private final long minMs;
  private final long maxMs;
  private int failures;

  BackOff(long minMs, long maxMs) {
    this.minMs = minMs;
    this.maxMs = maxMs;
  }

  /** Returns the pause after one more failure: between half the doubled pause and all of it. */
  long nextMs() {
    long fullMs = Math.min(maxMs, minMs << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return fullMs - ThreadLocalRandom.current().nextLong(fullMs / 2 + 1);
  }

  /** Starts again with the shortest pause. */
  void reset() {
    failures = 0;
  }
}
