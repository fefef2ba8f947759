package org.hickorymoor.domain.runtime;

/**
 * Log-logistic distribution of a run time.
 *
 * <p>Distribution function, quantiles and conditional quantiles have closed forms, and the tail is
 * heavier than that of the log-normal distribution, as stragglers require.
 *
 * @param logMedianMs natural logarithm of the median in milliseconds
 * @param scale scale of the distribution of the logarithm, above 0
 */
public record RunTimeDistribution(double logMedianMs, double scale) {

  private static final double P90 = 0.9;

  /** Standard deviation of a logistic distribution with scale 1. */
  private static final double UNIT_DEVIATION = Math.PI / Math.sqrt(3);

  /** Keeps the survival function above the smallest positive number. */
  private static final double MAX_STANDARD_SCORE = 500;

  /** Thirty days; keeps sums of expected times along a job within the range of a long. */
  private static final double MAX_MS = 30.0 * 24 * 3_600 * 1_000;

  /** Checks that the parameters are finite. */
  public RunTimeDistribution {
    if (!Double.isFinite(logMedianMs) || !(scale > 0 && Double.isFinite(scale))) {
      throw new IllegalArgumentException(
          "expected a finite median and a scale above 0, got " + logMedianMs + ", " + scale);
    }
  }

  /** Returns the distribution whose logarithm has the given mean and variance. */
  static RunTimeDistribution ofLogMoments(double mean, double variance) {
    return new RunTimeDistribution(mean, Math.sqrt(variance) / UNIT_DEVIATION);
  }

  /** Returns the standard deviation of the logarithm. */
  double logDeviation() {
    return scale * UNIT_DEVIATION;
  }

  /** Returns the probability that a run lasts longer than a time given by its logarithm. */
  double logSurvival(double logMs) {
    double score = Math.min(MAX_STANDARD_SCORE, (logMs - logMedianMs) / scale);
    return 1 / (1 + Math.exp(score));
  }

  /**
   * Returns the logarithm of the time that a run doesn't exceed with some probability, given that
   * it has lasted for a time already.
   *
   * @param logElapsed logarithm of that time; negative infinity for a run that hasn't started
   */
  double logQuantileAfter(double logElapsed, double probability) {
    double exceeded = logSurvival(logElapsed) * (1 - probability);
    return logMedianMs + scale * Math.log((1 - exceeded) / exceeded);
  }

  /** Returns the median, which is the expected run time, in milliseconds. */
  public long medianMs() {
    return toMs(logMedianMs);
  }

  /** Returns the time that nine of ten runs don't exceed, in milliseconds. */
  public long p90Ms() {
    return toMs(logQuantileAfter(Double.NEGATIVE_INFINITY, P90));
  }

  /** Returns the median of the remaining time of a run that has lasted for some time. */
  public long remainingMedianMs(long elapsedMs) {
    return remainingMs(elapsedMs, 0.5);
  }

  /** Returns the remaining time that nine of ten runs that have lasted so long don't exceed. */
  public long remainingP90Ms(long elapsedMs) {
    return remainingMs(elapsedMs, P90);
  }

  private long remainingMs(long elapsedMs, double probability) {
    double logElapsed = elapsedMs <= 0 ? Double.NEGATIVE_INFINITY : Math.log(elapsedMs);
    return Math.max(0, toMs(logQuantileAfter(logElapsed, probability)) - Math.max(0, elapsedMs));
  }

  private static long toMs(double logMs) {
    return Math.max(1, Math.round(Math.min(MAX_MS, Math.exp(logMs))));
  }
}
