package org.hickorymoor.domain.policy;

import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;

/** Failure history and quarantine state of one worker. */
final class WorkerHealth {

  /** Jobs whose attempts failed on this worker since the last success, oldest first. */
  final ArrayDeque<QueuedJob> failures = new ArrayDeque<>();

  /** True once an attempt succeeded on this worker. */
  boolean succeededOnce;

  /** True while the worker gets no attempts except probes. */
  boolean quarantined;

  /** Earliest time of the next probe. */
  long probeAtMs;

  /** Delay before a probe; doubled after each failed probe, up to a maximum. */
  long probeDelayMs;

  /** The running probe attempt, or null. */
  @Nullable RunningAttempt probe;

  /** Returns whether an attempt has succeeded on the worker and it is not quarantined. */
  boolean provenHealthy() {
    return succeededOnce && !quarantined;
  }
}
