package org.hickorymoor.standins.worker;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import java.util.concurrent.ThreadLocalRandom;

/**
 * A worker's monotonic clock with a random origin, so that readings of two workers are not
 * comparable. Thread-safe.
 */
final class WorkerClock {

  private static final long MAX_BASE_MS = 1_000_000_000L;

  private final long offsetMs;

  WorkerClock() {
    long baseMs = ThreadLocalRandom.current().nextLong(1, MAX_BASE_MS);
    offsetMs = baseMs - machineMs();
  }

  long nowMs() {
    return machineMs() + offsetMs;
  }

  /** Converts a reading of this clock to the monotonic clock of the machine. */
  long toMachineMs(long workerMs) {
    return workerMs - offsetMs;
  }

  private static long machineMs() {
    return NANOSECONDS.toMillis(System.nanoTime());
  }
}
