package org.hickorymoor.domain.runtime;

/**
 * Line that predicts the logarithm of a run time from that of the caller's estimate.
 *
 * @param atX a point on the line: logarithm of the estimate
 * @param value the point: predicted logarithm of the run time
 * @param slope change of the prediction with the logarithm of the estimate
 * @param variance variance of the logarithms of run times around the line
 */
record LogFit(double atX, double value, double slope, double variance) {

  /** Initial deviation of run times from estimates: a factor of 2.2 either way. */
  private static final double ESTIMATE_VARIANCE = 0.64;

  /** Initial deviation of run times without an estimate: a factor of 4.5 either way. */
  private static final double UNKNOWN_VARIANCE = 2.25;

  private static final double UNKNOWN_MS = 1_000;

  /** Trusts the estimate, as long as no run has finished. */
  static final LogFit OF_ESTIMATE = new LogFit(0, 0, 1, ESTIMATE_VARIANCE);

  /** The prediction without an estimate before any run has finished. */
  static final LogFit OF_UNKNOWN = new LogFit(0, Math.log(UNKNOWN_MS), 0, UNKNOWN_VARIANCE);

  double predict(double x) {
    return value + slope * (x - atX);
  }
}
