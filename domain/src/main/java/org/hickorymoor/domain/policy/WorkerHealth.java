package org.hickorymoor.domain.policy;

import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;

/** What speaks for and against one worker. */
final class WorkerHealth {

  /** Jobs whose attempts failed here since the last success, oldest first. */
  final ArrayDeque<QueuedJob> failures = new ArrayDeque<>();

  /** True once an attempt succeeded here. */
  boolean succeededOnce;

  /** True while it is set aside. */
  boolean quarantined;

  /** Time from which it may be tried with one task. */
  long probeAtMs;

  /** Time until the probe after the next one, doubled at each failed probe. */
  long probeDelayMs;

  /** The attempt that it is tried with, or null. */
  @Nullable RunningAttempt probe;

  /** Tells whether it is known to be able to run something. */
  boolean provenHealthy() {
    return succeededOnce && !quarantined;
  }
}
