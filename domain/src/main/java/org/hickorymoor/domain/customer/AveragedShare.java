package org.hickorymoor.domain.customer;

/** A share as an exponential moving average over time. Not thread-safe. */
final class AveragedShare {

  /**
   * Time constant of the average. A shorter one would rank customers by single short tasks; after a
   * longer one, a burst would still delay the customer's jobs when the room that it took is free
   * again.
   */
  static final double TIME_CONSTANT_NS = 5e9;

  private double current;
  private double average;
  private long updatedNs;

  /**
   * Creates an average of 0.
   *
   * @param nowNs current time, on a monotonic clock
   */
  AveragedShare(long nowNs) {
    updatedNs = nowNs;
  }

  /** Sets the share that holds from now on. */
  void set(double share, long nowNs) {
    advance(nowNs);
    current = share;
  }

  /** Starts the average anew at a share. */
  void startAt(double share, long nowNs) {
    current = share;
    average = share;
    updatedNs = nowNs;
  }

  /** Returns the average. */
  double average(long nowNs) {
    advance(nowNs);
    return average;
  }

  private void advance(long nowNs) {
    if (nowNs > updatedNs) {
      average = current + (average - current) * Math.exp((updatedNs - nowNs) / TIME_CONSTANT_NS);
      updatedNs = nowNs;
    }
  }
}
