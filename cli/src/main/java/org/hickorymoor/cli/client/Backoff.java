package org.hickorymoor.cli.client;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.random.RandomGenerator;

/**
 * Pauses between attempts: doubled each time up to a limit, and shortened at random.
 *
 * @param firstMs longest pause after the first attempt
 * @param maxMs longest pause of all
 */
public record Backoff(long firstMs, long maxMs) {

  private static final int MAX_DOUBLINGS = 30;

  /** Checks the range. */
  public Backoff {
    checkArgument(firstMs > 0 && maxMs >= firstMs, "expected 0 < firstMs <= maxMs");
  }

  /**
   * Draws a pause.
   *
   * @param attempt number of attempts made so far, from 1
   * @param random source of the jitter
   * @return a time between half the longest pause and the whole
   */
  public long pauseMs(int attempt, RandomGenerator random) {
    int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
    long longestMs = Math.min(maxMs, firstMs << doublings);
    long halfMs = longestMs / 2;
    return halfMs + random.nextLong(longestMs - halfMs + 1);
  }
}
