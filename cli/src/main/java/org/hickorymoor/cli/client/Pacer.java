package org.hickorymoor.cli.client;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;

/** Time as the client sees it. */
public interface Pacer {

  /** Time of this machine's monotonic clock. */
  Pacer SYSTEM =
      new Pacer() {
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
   * Reads a monotonic clock.
   *
   * @return milliseconds since some fixed time
   */
  long nowMs();

  /**
   * Waits.
   *
   * @param durationMs how long
   */
  void sleep(long durationMs);
}
