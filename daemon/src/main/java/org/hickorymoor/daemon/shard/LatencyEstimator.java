package org.hickorymoor.daemon.shard;

import java.util.concurrent.TimeUnit;

/** How long the store has taken to answer appends lately. Belongs to the thread of the loop. */
final class LatencyEstimator {

  /** Half, so that a slow store is noticed with its second or third answer. */
  private static final double LATEST_SAMPLE_WEIGHT = 0.5;

  private boolean hedgeInFlight;
  private double smoothedNs;

  /** Takes in the time that an answered append took. */
  void record(long latencyNs) {
    smoothedNs += LATEST_SAMPLE_WEIGHT * (latencyNs - smoothedNs);
  }

  /**
   * Begins a repeat unless one is on its way; a store that has just become slow would get every
   * append twice otherwise.
   */
  boolean tryStartHedge() {
    boolean started = !hedgeInFlight;
    hedgeInFlight = true;
    return started;
  }

  void hedgeCompleted() {
    hedgeInFlight = false;
  }

  /** Returns the usual time at present, in milliseconds. */
  long smoothedMs() {
    return TimeUnit.NANOSECONDS.toMillis((long) smoothedNs);
  }
}
