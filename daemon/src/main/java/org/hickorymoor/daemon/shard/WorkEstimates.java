package org.hickorymoor.daemon.shard;

import java.util.concurrent.TimeUnit;
import org.hickorymoor.domain.customer.AdmissionPolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;

/** Work and deadlines of jobs for admission control, safe from overflow by odd estimates. */
final class WorkEstimates {

  /** Estimates come from callers; longer ones are cut so that no sum overflows. */
  private static final long MAX_RUN_MS = TimeUnit.DAYS.toMillis(30);

  /** Bounds the work of a task, in core-milliseconds, for the same reason. */
  private static final long MAX_TASK_CORE_MS = 10_000_000_000L;

  /** Objectives and delays from this value on are taken for unlimited. */
  private static final long UNLIMITED_MS = TimeUnit.DAYS.toMillis(3_650);

  private static final int MILLIS_PER_CORE = 1_000;

  private WorkEstimates() {}

  /** Returns the processor time of a task, in core-milliseconds. */
  static long taskCoreMs(StepSpec step, long runMs) {
    return step.longRunning()
        ? 0
        : Math.min(MAX_TASK_CORE_MS, step.reservedCpuMillis() * runMs / MILLIS_PER_CORE);
  }

  /** Returns a run time within the range that sums can hold. */
  static long boundedMs(long runMs) {
    return Math.min(MAX_RUN_MS, Math.max(0, runMs));
  }

  /** Returns the critical path of a job as its caller estimates. */
  static long declaredCriticalPathMs(WorkloadSpec spec) {
    return spec.criticalPathMs(index -> boundedMs(spec.steps().get(index).estimatedMs()));
  }

  /** Returns the processor time of one run of a job as its caller estimates, in core-ms. */
  static long declaredCoreMs(WorkloadSpec spec) {
    long sum = 0;
    for (StepSpec step : spec.steps()) {
      sum += step.count() * taskCoreMs(step, boundedMs(step.estimatedMs()));
    }
    return sum;
  }

  /**
   * Returns the time from its start within which a job must complete to be useful; the largest
   * number if it runs until it is cancelled or has no deadline in practice.
   */
  static long usefulWindowMs(Submission submission, long criticalPathMs) {
    if (submission.spec().steps().stream().anyMatch(StepSpec::longRunning)) {
      return Long.MAX_VALUE;
    }
    long objectiveMs = submission.policy().objectiveMs(criticalPathMs);
    return objectiveMs < 0 || objectiveMs > UNLIMITED_MS
        ? Long.MAX_VALUE
        : AdmissionPolicy.USEFUL_OBJECTIVES * objectiveMs;
  }

  /** Returns the time from now within which a job must complete to be useful. */
  static long usefulWithinMs(Submission submission, long criticalPathMs, long nowMs) {
    long windowMs = usefulWindowMs(submission, criticalPathMs);
    WorkloadSpec spec = submission.spec();
    long startMs = spec.repetitions() == 0 ? submission.acceptedAtMs() : Math.max(0, spec.dueMs(0));
    return windowMs == Long.MAX_VALUE || startMs - nowMs > UNLIMITED_MS
        ? Long.MAX_VALUE
        : startMs - nowMs + windowMs;
  }
}
