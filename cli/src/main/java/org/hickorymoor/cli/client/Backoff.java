package org.hickorymoor.cli.client;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter.
 *
 * @param initialMs maximum delay after the first attempt; doubled after each further one
 * @param maxMs upper limit of all delays
 */
public record Backoff(long initialMs, long maxMs) {

  private static final int MAX_DOUBLINGS = 30;

  /** Validates the delays. */
  public Backoff {
    checkArgument(initialMs > 0 && maxMs >= initialMs, "expected 0 < initialMs <= maxMs");
  }

  /**
   * Computes a random delay.
   *
   * @param attempt number of attempts made so far, at least 1
   * @param random source of randomness for the jitter
   * @return a delay between half of the maximum for this attempt and the maximum
   */
  public long delayMs(int attempt, RandomGenerator random) {
    int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
    long fullDelayMs = Math.min(maxMs, initialMs << doublings);
    long halfDelayMs = fullDelayMs / 2;
    return halfDelayMs + random.nextLong(fullDelayMs - halfDelayMs + 1);
  }
}
