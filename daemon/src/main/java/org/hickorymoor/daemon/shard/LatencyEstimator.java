package org.hickorymoor.daemon.shard;

import java.util.concurrent.TimeUnit;

/**
 * Smooths the latency of recent appends to the store and limits hedging to one call at a time. Not
 * thread-safe; confined to the event loop thread.
 */
final class LatencyEstimator {

  /** One half, so that a slow store shows with its second or third answer. */
  private static final double LATEST_SAMPLE_WEIGHT = 0.5;

  private boolean hedgeInFlight;
  private double smoothedNs;

  /** Records the latency of an answered append. */
  void record(long latencyNs) {
    smoothedNs += LATEST_SAMPLE_WEIGHT * (latencyNs - smoothedNs);
  }

  /**
   * Starts a hedge and returns true unless one is in flight; otherwise a store that has just become
   * slow would receive every append twice.
   */
  boolean tryStartHedge() {
    boolean started = !hedgeInFlight;
    hedgeInFlight = true;
    return started;
  }

  void hedgeCompleted() {
    hedgeInFlight = false;
  }

  /** Returns the smoothed latency in milliseconds. */
  long smoothedMs() {
    return TimeUnit.NANOSECONDS.toMillis((long) smoothedNs);
  }
}
