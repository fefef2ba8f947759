package org.hickorymoor.cli.client;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;

/** A monotonic clock with a sleep operation, replaceable in tests. */
public interface MonotonicClock {

  /** The monotonic clock of the JVM. */
  MonotonicClock SYSTEM =
      new MonotonicClock() {
        private static final long NANOS_PER_MS = 1_000_000;

        @Override
        public long nowMs() {
          return System.nanoTime() / NANOS_PER_MS;
        }

        @Override
        public void sleep(long durationMs) {
          Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(durationMs));
        }
      };

  /**
   * Returns the current time.
   *
   * @return milliseconds since an arbitrary fixed time
   */
  long nowMs();

  /**
   * Sleeps for the given time.
   *
   * @param durationMs time to sleep
   */
  void sleep(long durationMs);
}
