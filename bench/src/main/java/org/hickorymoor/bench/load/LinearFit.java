package org.hickorymoor.bench.load;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A line fitted by ordinary least squares.
 *
 * @param intercept value of the line at x = 0
 * @param slope change of y per unit of x
 * @param slopeError standard error of the slope
 * @param interceptError standard error of the intercept
 */
record LinearFit(double intercept, double slope, double slopeError, double interceptError) {

  private static final int MIN_POINTS = 3;

  static LinearFit fit(double[] x, double[] y) {
    checkArgument(
        x.length == y.length && x.length >= MIN_POINTS,
        "expected at least %s points, got %s x values and %s y values",
        MIN_POINTS,
        x.length,
        y.length);
    double meanX = mean(x);
    double meanY = mean(y);
    double sumSquaresX = 0;
    double sumProducts = 0;
    for (int i = 0; i < x.length; i++) {
      sumSquaresX += (x[i] - meanX) * (x[i] - meanX);
      sumProducts += (x[i] - meanX) * (y[i] - meanY);
    }
    checkArgument(sumSquaresX > 0, "expected distinct x values, got only %s", meanX);
    double slope = sumProducts / sumSquaresX;
    double intercept = meanY - slope * meanX;
    double residualVariance = sumSquaredResiduals(x, y, intercept, slope) / (x.length - 2);
    double slopeError = Math.sqrt(residualVariance / sumSquaresX);
    double interceptError =
        Math.sqrt(residualVariance * (1.0 / x.length + meanX * meanX / sumSquaresX));
    return new LinearFit(intercept, slope, slopeError, interceptError);
  }

  private static double sumSquaredResiduals(
      double[] x, double[] y, double intercept, double slope) {
    double sum = 0;
    for (int i = 0; i < x.length; i++) {
      double residual = y[i] - intercept - slope * x[i];
      sum += residual * residual;
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
