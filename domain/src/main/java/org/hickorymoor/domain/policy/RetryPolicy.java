package org.hickorymoor.domain.policy;

import java.util.random.RandomGenerator;
import org.hickorymoor.domain.job.JobKind;

/** Decides whether an ended attempt is followed by another one, and when. */
final class RetryPolicy {

  /** What follows the end of an attempt. */
  enum Action {
    /** Nothing: the task is over. */
    NO_RETRY,

    /** Another attempt, without delay. */
    RETRY_NOW,

    /** Another attempt, after a back-off. */
    RETRY_LATER,

    /** The job has used up its retries. */
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
   * Judges an end. An attempt that never ran may be followed by another one even where the job must
   * not be repeated.
   *
   * @param job the job
   * @param failures how often the task has failed, this time included
   * @param outcome how it ended
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

  /** Returns a delay that doubles with each failure, of which up to a random half is taken off. */
  long delayMs(int failures) {
    int doublings = Math.min(Math.max(0, failures - 1), MAX_DOUBLINGS);
    long fullMs = Math.min(maxDelayMs, baseDelayMs << doublings);
    long halfMs = fullMs / 2;
    return halfMs + random.nextLong(halfMs + 1);
  }
}
