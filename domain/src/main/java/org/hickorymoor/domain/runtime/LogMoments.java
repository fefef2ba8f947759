package org.hickorymoor.domain.runtime;

/**
 * Moments of pairs of logarithms, x of estimates and y of run times, in which older samples weigh
 * less.
 *
 * @param weight sum of the weights of the samples
 * @param meanX mean of x
 * @param meanY mean of y
 * @param sumXx sum of the squared deviations of x
 * @param sumXy sum of the products of the deviations of x and y
 * @param sumYy sum of the squared deviations of y
 */
public record LogMoments(
    double weight, double meanX, double meanY, double sumXx, double sumXy, double sumYy) {

  /** No samples. */
  public static final LogMoments EMPTY = new LogMoments(0, 0, 0, 0, 0, 0);

  /** Logarithms of run times are below 22, those of 30 days. */
  private static final double MAX_MEAN = 100;

  private static final double MAX_SUM = 1e9;

  /** Weight of the variance of the next more general level, in samples. */
  private static final double PRIOR_WEIGHT = 4;

  /** Variance of the slopes of levels around that of the next more general one. */
  private static final double SLOPE_VARIANCE = 0.25;

  /** A level shrinks towards the more general one by at most the weight of 20 samples. */
  private static final double MIN_BETWEEN_SHARE = 0.05;

  /** Run times vary by 1 % at least; keeps distributions from degenerating. */
  private static final double MIN_VARIANCE = 1e-4;

  /** Checks the ranges, as moments are read from stored records. */
  public LogMoments {
    if (!(weight >= 0 && weight <= MAX_SUM)
        || !(Math.abs(meanX) <= MAX_MEAN && Math.abs(meanY) <= MAX_MEAN)
        || !(sumXx >= 0 && sumXx <= MAX_SUM && sumYy >= 0 && sumYy <= MAX_SUM)
        || !(Math.abs(sumXy) <= MAX_SUM)) {
      throw new IllegalArgumentException("moments out of range");
    }
  }

  /** Returns the moments with one more sample, before which all others decay. */
  LogMoments add(double x, double y, double sampleWeight) {
    double keep = Decay.factor(sampleWeight);
    double total = keep * weight + sampleWeight;
    double dx = x - meanX;
    double dy = y - meanY;
    double share = sampleWeight / total;
    double rest = sampleWeight * (1 - share);
    return new LogMoments(
        total,
        meanX + dx * share,
        meanY + dy * share,
        keep * sumXx + rest * dx * dx,
        keep * sumXy + rest * dx * dy,
        keep * sumYy + rest * dy * dy);
  }

  /**
   * Returns the fit of this level, shrunk towards that of the next more general level.
   *
   * <p>How strongly depends on how much smaller the variance within this level is than that of the
   * general one: where levels don't differ, their samples are worth pooling.
   */
  LogFit fit(LogFit general) {
    if (weight == 0) {
      return general;
    }
    double explained = sumXx > 0 ? sumXy * sumXy / sumXx : 0;
    double within = variance(sumYy - explained, general);
    double ridge = within / SLOPE_VARIANCE;
    double slope = (sumXy + ridge * general.slope()) / (sumXx + ridge);
    double between = Math.max(general.variance() - within, MIN_BETWEEN_SHARE * general.variance());
    double priorSamples = within / between;
    double value =
        (weight * meanY + priorSamples * general.predict(meanX)) / (weight + priorSamples);
    double residual = sumYy - 2 * slope * sumXy + slope * slope * sumXx;
    return new LogFit(meanX, value, slope, variance(residual, general));
  }

  private double variance(double residual, LogFit general) {
    return Math.max(
        MIN_VARIANCE,
        (Math.max(0, residual) + PRIOR_WEIGHT * general.variance()) / (weight + PRIOR_WEIGHT));
  }
}
