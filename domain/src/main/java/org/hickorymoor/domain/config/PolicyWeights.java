package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Weights of the goals of the scheduling policy. Only their ratios matter.
 *
 * @param waiting weight of short waiting times
 * @param packing weight of high worker utilization
 * @param control weight of low control overhead
 */
public record PolicyWeights(double waiting, double packing, double control) {

  /** Equal weights. */
  public static final PolicyWeights DEFAULT = new PolicyWeights(1, 1, 1);

  /** Maximum of each weight. */
  public static final double MAX_WEIGHT = 1000;

  /** Checks the ranges. */
  public PolicyWeights {
    check("waiting", waiting);
    check("packing", packing);
    check("control", control);
  }

  /**
   * Returns the sum of the weights.
   *
   * @return the sum, above 0 in a valid configuration
   */
  public double sum() {
    return waiting + packing + control;
  }

  private static void check(String name, double weight) {
    checkArgument(
        weight >= 0 && weight <= MAX_WEIGHT,
        "%s must be from 0 to %s, got %s",
        name,
        MAX_WEIGHT,
        weight);
  }
}
