package org.hickorymoor.daemon.stream;

import java.util.function.DoubleSupplier;

/** Pauses that double with each failure in a row, with jitter. Not safe for several threads. */
final class ExponentialBackoff {

  private static final int MAX_DOUBLINGS = 20;

  private final long minMs;
  private final long maxMs;
  private final DoubleSupplier random;
  private int failures;

  ExponentialBackoff(long minMs, long maxMs, DoubleSupplier random) {
    this.minMs = minMs;
    this.maxMs = maxMs;
    this.random = random;
  }

  /** Returns the pause after one more failure: between half the doubled pause and all of it. */
  long nextMs() {
    long fullMs = Math.min(maxMs, minMs << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return fullMs - (long) (random.getAsDouble() * (fullMs / 2 + 1));
  }

  /** Starts again with the shortest pause. */
  void reset() {
    failures = 0;
  }
}
