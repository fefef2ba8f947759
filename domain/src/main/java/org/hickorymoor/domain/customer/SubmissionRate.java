package org.hickorymoor.domain.customer;

/**
 * Token bucket that tells the jobs of a customer within its rate from those beyond it.
 *
 * <p>The rate is the customer's weight in jobs a second. The bucket holds the jobs of one second,
 * and at least one job. A job beyond the rate takes no token, so the jobs that come after a burst
 * don't pay for it. Not thread-safe.
 */
public final class SubmissionRate {

  private static final double MS_PER_SECOND = 1_000;

  /** Covers rounding when many fractions of a token add up to one. */
  private static final double ROUNDING = 1e-9;

  private double tokens;
  private long filledAtMs;
  private boolean used;

  /**
   * Takes a token for a job if there is one.
   *
   * <p>Jobs are recorded in the order of their times of acceptance. A job that was accepted before
   * an earlier recorded one counts as accepted at the same time.
   *
   * @param weight weight of the customer
   * @param acceptedAtMs Unix time at which the job was accepted
   * @return whether the job is within the rate
   */
  public boolean tryAcquire(double weight, long acceptedAtMs) {
    refill(weight, acceptedAtMs);
    used = true;
    if (tokens + ROUNDING < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns whether a job that is accepted now would be within the rate. */
  public boolean hasToken(double weight, long nowMs) {
    refill(weight, nowMs);
    return tokens + ROUNDING >= 1;
  }

  /** Returns whether the bucket is full, so that it behaves like a new one. */
  public boolean isFull(double weight, long nowMs) {
    refill(weight, nowMs);
    return tokens + ROUNDING >= capacity(weight);
  }

  private void refill(double weight, long nowMs) {
    if (!used) {
      tokens = capacity(weight);
      filledAtMs = nowMs;
      return;
    }
    double added = Math.max(0, nowMs - filledAtMs) * weight / MS_PER_SECOND;
    tokens = Math.min(capacity(weight), tokens + added);
    filledAtMs = Math.max(filledAtMs, nowMs);
  }

  private static double capacity(double weight) {
    return Math.max(1, weight);
  }
}
