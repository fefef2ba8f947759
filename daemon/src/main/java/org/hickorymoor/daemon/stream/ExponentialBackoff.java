package org.hickorymoor.daemon.stream;

import java.util.function.DoubleSupplier;

/**
 * Exponential backoff with jitter: the delay doubles with each consecutive failure. Not safe for
 * use by several threads.
 */
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

  /** Records a failure and returns the next delay, from half the doubled delay to all of it. */
  long nextMs() {
    long fullMs = Math.min(maxMs, minMs << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return fullMs - (long) (random.getAsDouble() * (fullMs / 2 + 1));
  }

  /** Resets the delay to the minimum, after a success. */
  void reset() {
    failures = 0;
  }
}
