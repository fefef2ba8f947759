package org.hickorymoor.standins.worker;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import java.util.concurrent.ThreadLocalRandom;

/** A worker's own monotonic clock, which starts anywhere. Safe for use by several threads. */
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

  /** Returns what the machine's clock shows when this one shows {@code workerMs}. */
  long toMachineMs(long workerMs) {
    return workerMs - offsetMs;
  }

  private static long machineMs() {
    return NANOSECONDS.toMillis(System.nanoTime());
  }
}
