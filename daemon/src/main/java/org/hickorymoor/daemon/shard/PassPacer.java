package org.hickorymoor.daemon.shard;

import java.util.concurrent.TimeUnit;

/**
 * Spaces recurring passes of the event loop so that they leave time for everything else.
 *
 * <p>The duration of a pass grows with the number of waiting jobs. Without a pause in proportion, a
 * weak host would spend all its time on passes and send its heartbeats too late. Not thread-safe;
 * confined to the event loop thread.
 */
final class PassPacer {

  /** Pause after a pass, as a multiple of its duration. */
  private static final int PAUSE_FACTOR = 2;

  private final ShardEventLoop loop;
  private final long minDelayMs;
  private long beganNs;
  private long nextNs;

  /**
   * Creates a pacer.
   *
   * @param minDelayMs delay of a pass after a long pause, so that one pass serves many events
   */
  PassPacer(ShardEventLoop loop, long minDelayMs) {
    this.loop = loop;
    this.minDelayMs = minDelayMs;
    this.nextNs = loop.nowNs();
  }

  void passBegan() {
    beganNs = loop.nowNs();
  }

  void passEnded() {
    long nowNs = loop.nowNs();
    nextNs = nowNs + PAUSE_FACTOR * (nowNs - beganNs);
  }

  /** Returns the delay after which the next pass may run. */
  long delayMs() {
    return Math.max(minDelayMs, TimeUnit.NANOSECONDS.toMillis(nextNs - loop.nowNs()));
  }
}
