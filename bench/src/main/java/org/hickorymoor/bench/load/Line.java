package org.hickorymoor.bench.load;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A line fitted by least squares.
 *
 * @param intercept value at 0
 * @param slope rise for each unit
 * @param slopeError standard error of the slope
 * @param interceptError standard error of the intercept
 */
record Line(double intercept, double slope, double slopeError, double interceptError) {

  private static final int MIN_POINTS = 3;

  static Line fit(double[] x, double[] y) {
    checkArgument(
        x.length == y.length && x.length >= MIN_POINTS,
        "expected at least %s pairs, got %s and %s numbers",
        MIN_POINTS,
        x.length,
        y.length);
    double meanX = mean(x);
    double meanY = mean(y);
    double spread = 0;
    double product = 0;
    for (int i = 0; i < x.length; i++) {
      spread += (x[i] - meanX) * (x[i] - meanX);
      product += (x[i] - meanX) * (y[i] - meanY);
    }
    checkArgument(spread > 0, "expected different values on the axis, got %s only", meanX);
    double slope = product / spread;
    double intercept = meanY - slope * meanX;
    double variance = squaredError(x, y, intercept, slope) / (x.length - 2);
    double slopeError = Math.sqrt(variance / spread);
    double interceptError = Math.sqrt(variance * (1.0 / x.length + meanX * meanX / spread));
    return new Line(intercept, slope, slopeError, interceptError);
  }

  private static double squaredError(double[] x, double[] y, double intercept, double slope) {
    double sum = 0;
    for (int i = 0; i < x.length; i++) {
      double error = y[i] - intercept - slope * x[i];
      sum += error * error;
    }
    return sum;
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }
}
