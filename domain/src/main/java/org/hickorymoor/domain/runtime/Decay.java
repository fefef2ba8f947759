package org.hickorymoor.domain.runtime;

/** Decay of samples with the number of those that follow. */
final class Decay {

  /** A shift of the run times is half learned after this many samples. */
  private static final double HALF_LIFE_SAMPLES = 200;

  private Decay() {}

  /** Returns the factor by which earlier samples decay with the next one. */
  static double factor(double sampleWeight) {
    return Math.pow(0.5, sampleWeight / HALF_LIFE_SAMPLES);
  }
}
