package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;

/**
 * Rejects jobs while too many tasks are waiting, with a retry delay estimated from the start rate.
 */
final class AdmissionControl {

  private static final long WINDOW_MS = 1_000;
  private static final double SMOOTHING_FACTOR = 0.3;
  private static final long MIN_RETRY_AFTER_MS = 100;
  private static final long MAX_RETRY_AFTER_MS = 60_000;
  private static final double NORMAL_QUEUE_SHARE = 0.9;
  private static final double BATCH_QUEUE_SHARE = 0.8;

  private final PolicyState state;
  private final FairQueue queue;
  private long windowStartMs;
  private int windowStarts;
  private double startsPerMs;

  AdmissionControl(PolicyState state, FairQueue queue) {
    this.state = state;
    this.queue = queue;
  }

  Admission admit(JobSpec spec, long nowMs) {
    String team = spec.request().team();
    int teamExcess =
        queue.waitingTasks(team) + spec.taskCount() - state.settings.maxQueuedTasksPerTeam();
    if (teamExcess > 0) {
      return reject("team " + team + " has " + queue.waitingTasks(team), teamExcess, nowMs);
    }
    int excess = queue.waitingTasks() + spec.taskCount() - queueLimit(spec);
    if (excess > 0) {
      return reject("the queue has " + queue.waitingTasks(), excess, nowMs);
    }
    return Admission.ACCEPTED;
  }

  /** Counts started tasks for the estimate of the start rate. */
  void started(int starts, long nowMs) {
    rollWindow(nowMs);
    windowStarts += starts;
  }

  /** Returns the queue limit of a class, which leaves room for more urgent classes. */
  private int queueLimit(JobSpec spec) {
    int all = state.settings.maxQueuedTasks();
    return switch (spec.jobClass()) {
      case URGENT -> all;
      case NORMAL -> (int) (all * NORMAL_QUEUE_SHARE);
      case BATCH -> (int) (all * BATCH_QUEUE_SHARE);
    };
  }

  private Admission reject(String what, int excess, long nowMs) {
    rollWindow(nowMs);
    double waitMs = startsPerMs > 0 ? excess / startsPerMs : MAX_RETRY_AFTER_MS;
    long retryAfterMs = (long) Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    String message =
        what + " tasks waiting, " + excess + " too many; try again in " + retryAfterMs + " ms";
    return new Admission(new Reason(ReasonType.OVERLOADED, message), retryAfterMs);
  }

  private void rollWindow(long nowMs) {
    long lengthMs = nowMs - windowStartMs;
    if (lengthMs >= WINDOW_MS) {
      double rate = (double) windowStarts / lengthMs;
      startsPerMs = startsPerMs == 0 ? rate : startsPerMs + SMOOTHING_FACTOR * (rate - startsPerMs);
      windowStartMs = nowMs;
      windowStarts = 0;
    }
  }
}
