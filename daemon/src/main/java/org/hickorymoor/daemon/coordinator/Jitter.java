package org.hickorymoor.daemon.coordinator;

import java.util.random.RandomGenerator;

/** Random delays that keep hosts from retrying in lockstep after a common failure. Thread-safe. */
final class Jitter {

  private final RandomGenerator random;

  Jitter(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns a random delay.
   *
   * @param boundMs maximum delay
   * @return a delay from 0 to {@code boundMs}, inclusive
   */
  synchronized long upToMs(long boundMs) {
    return boundMs <= 0 ? 0 : random.nextLong(boundMs + 1);
  }
}
