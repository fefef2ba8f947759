package org.hickorymoor.daemon.shard;

import java.util.concurrent.TimeUnit;

/** How long the store has taken to answer appends lately. Belongs to the thread of the loop. */
final class LatencyEstimator {

  /** Half, so that a slow store is noticed with its second or third answer. */
  private static final double NEWEST_WEIGHT = 0.5;

  private boolean repeating;
  private double smoothedNs;

  /** Takes in the time that an answered append took. */
  void add(long tookNs) {
    smoothedNs += NEWEST_WEIGHT * (tookNs - smoothedNs);
  }

  /**
   * Begins a repeat unless one is on its way; a store that has just become slow would get every
   * append twice otherwise.
   */
  boolean beginRepeat() {
    boolean begun = !repeating;
    repeating = true;
    return begun;
  }

  void endRepeat() {
    repeating = false;
  }

  /** Returns the usual time at present, in milliseconds. */
  long usualMs() {
    return TimeUnit.NANOSECONDS.toMillis((long) smoothedNs);
  }
}
