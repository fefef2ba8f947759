package org.hickorymoor.domain.policy;

import java.util.Arrays;

/** Quantiles over a sliding window of samples. */
final class RecentSamples {

  private static final int MAX_SAMPLES = 32;

  private float[] samples = new float[0];
  private float[] sorted = new float[0];
  private int next;
  private boolean stale;

  void add(double sample) {
    if (samples.length < MAX_SAMPLES) {
      samples = Arrays.copyOf(samples, samples.length + 1);
      next = samples.length - 1;
    }
    samples[next] = (float) sample;
    next = (next + 1) % MAX_SAMPLES;
    stale = true;
  }

  int count() {
    return samples.length;
  }

  /** Returns the quantile for a share from 0 to 1, or 0 without samples. */
  double quantile(double share) {
    if (samples.length == 0) {
      return 0;
    }
    if (stale) {
      sorted = samples.clone();
      Arrays.sort(sorted);
      stale = false;
    }
    return sorted[(int) Math.min(sorted.length - 1L, (long) (share * sorted.length))];
  }
}
