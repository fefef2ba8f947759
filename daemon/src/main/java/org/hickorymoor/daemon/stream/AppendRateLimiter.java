package org.hickorymoor.daemon.stream;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.function.LongSupplier;

/**
 * Limits the rate at which a process appends to the log, over all its streams.
 *
 * <p>Implemented as a token bucket. Safe for use by several threads.
 */
public final class AppendRateLimiter {

  private static final double MS_PER_SECOND = 1000.0;

  private final LongSupplier clockMs;
  private final double tokensPerMs;
  private final double maxTokens;

  // Guarded by this.
  private double tokens;
  private long filledAtMs;

  /**
   * Creates a limiter with a full bucket.
   *
   * @param appendsPerSecond sustained rate
   * @param burst capacity of the bucket, in appends
   * @param clockMs monotonic time in ms
   */
  public AppendRateLimiter(double appendsPerSecond, int burst, LongSupplier clockMs) {
    checkArgument(
        appendsPerSecond > 0, "appendsPerSecond must be positive, got %s", appendsPerSecond);
    checkArgument(burst >= 1, "burst must be at least 1, got %s", burst);
    this.clockMs = clockMs;
    this.tokensPerMs = appendsPerSecond / MS_PER_SECOND;
    this.maxTokens = burst;
    this.tokens = burst;
    this.filledAtMs = clockMs.getAsLong();
  }

  /**
   * Takes a token if one is available.
   *
   * @return 0 if a token was taken, otherwise the time in ms until one is available
   */
  public synchronized long tryAcquire() {
    long nowMs = clockMs.getAsLong();
    tokens = Math.min(maxTokens, tokens + (nowMs - filledAtMs) * tokensPerMs);
    filledAtMs = nowMs;
    if (tokens >= 1) {
      tokens -= 1;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - tokens) / tokensPerMs));
  }
}
