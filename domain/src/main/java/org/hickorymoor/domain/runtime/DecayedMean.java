package org.hickorymoor.domain.runtime;

/**
 * A mean in which older samples weigh less.
 *
 * @param weight sum of the weights of the samples
 * @param mean the mean; 0 without samples
 */
public record DecayedMean(double weight, double mean) {

  /** No samples. */
  public static final DecayedMean EMPTY = new DecayedMean(0, 0);

  private static final double MAX_WEIGHT = 1e9;
  private static final double MAX_MEAN = 1e3;

  /** Checks the ranges, as means are read from stored records. */
  public DecayedMean {
    if (!(weight >= 0 && weight <= MAX_WEIGHT) || !(Math.abs(mean) <= MAX_MEAN)) {
      throw new IllegalArgumentException("mean out of range: " + mean + ", weight " + weight);
    }
  }

  DecayedMean add(double sample, double sampleWeight) {
    double total = weight * Decay.factor(sampleWeight) + sampleWeight;
    return new DecayedMean(total, mean + (sample - mean) * sampleWeight / total);
  }

  /** Returns the mean, shrunk towards another value that weighs as much as some samples. */
  double shrunkTo(double value, double samples) {
    return (weight * mean + samples * value) / (weight + samples);
  }
}
