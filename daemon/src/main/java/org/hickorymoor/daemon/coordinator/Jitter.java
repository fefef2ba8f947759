package org.hickorymoor.daemon.coordinator;

import java.util.random.RandomGenerator;

/** Draws random waits, so that hosts that fail together do not retry together. Thread-safe. */
final class Jitter {

  private final RandomGenerator random;

  Jitter(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Draws a wait.
   *
   * @param boundMs largest wait
   * @return a wait from 0 to {@code boundMs}
   */
  synchronized long upToMs(long boundMs) {
    return boundMs <= 0 ? 0 : random.nextLong(boundMs + 1);
  }
}
