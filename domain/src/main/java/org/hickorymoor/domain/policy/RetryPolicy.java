package org.hickorymoor.domain.policy;

import java.util.random.RandomGenerator;
import org.hickorymoor.domain.job.JobKind;

/** Decides whether and when an ended attempt is retried. */
final class RetryPolicy {

  /** Action after the end of an attempt. */
  enum Action {
    /** The task has ended; no further attempt. */
    NO_RETRY,

    /** Another attempt without delay. */
    RETRY_NOW,

    /** Another attempt after a back-off. */
    RETRY_LATER,

    /** The task has reached the maximum number of failures. */
    EXHAUSTED
  }

  private static final int MAX_DOUBLINGS = 16;

  private final int maxFailures;
  private final long baseDelayMs;
  private final long maxDelayMs;
  private final RandomGenerator random;

  RetryPolicy(int maxFailures, long baseDelayMs, long maxDelayMs, RandomGenerator random) {
    this.maxFailures = maxFailures;
    this.baseDelayMs = baseDelayMs;
    this.maxDelayMs = maxDelayMs;
    this.random = random;
  }

  /**
   * Decides what follows the end of an attempt. An attempt that never ran is retried even if the
   * job is not repeatable.
   *
   * @param job the job
   * @param failures the number of failed attempts of the task, including this one
   * @param outcome the outcome of the attempt
   */
  Action decide(QueuedJob job, int failures, TaskEnd.Outcome outcome) {
    if (outcome == TaskEnd.Outcome.NOT_STARTED) {
      return Action.RETRY_LATER;
    }
    if (!job.spec.repeatable()) {
      return Action.NO_RETRY;
    }
    if (job.spec.kind() == JobKind.SERVICE) {
      return outcome == TaskEnd.Outcome.STOPPED ? Action.RETRY_NOW : Action.RETRY_LATER;
    }
    return switch (outcome) {
      case SUCCEEDED -> Action.NO_RETRY;
      case STOPPED -> Action.RETRY_NOW;
      default -> failures >= maxFailures ? Action.EXHAUSTED : Action.RETRY_LATER;
    };
  }

  /** Returns an exponential back-off, reduced by a random jitter of up to one half. */
  long delayMs(int failures) {
    int doublings = Math.min(Math.max(0, failures - 1), MAX_DOUBLINGS);
    long fullMs = Math.min(maxDelayMs, baseDelayMs << doublings);
    long halfMs = fullMs / 2;
    return halfMs + random.nextLong(halfMs + 1);
  }
}
