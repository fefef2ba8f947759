package org.hickorymoor.domain.policy;

import java.util.HashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;

/** Attributes the usage that a worker reports to the workloads that ran when it was measured. */
final class UsageAttribution {

  private UsageAttribution() {}

  /** Updates the usage estimates, unless a throttled attempt distorts the reported usage. */
  static void attribute(
      WorkerLoad worker, UsageReport report, long nowMs, WorkloadEstimator workloadEstimator) {
    long atMs = nowMs - report.ageMs();
    Map<WorkloadKey, Resources> declared = new HashMap<>();
    boolean throttled = false;
    for (RunningAttempt attempt : worker.attempts.values()) {
      if (attempt.startedMs < atMs) {
        declared.merge(attempt.job.workloadKey, attempt.job.demand(), Resources::plus);
        throttled |= attempt.everThrottled;
      }
    }
    for (RunningAttempt attempt : worker.recentEnds) {
      if (CapacityEstimator.wasRunningAt(attempt, atMs)) {
        declared.merge(attempt.job.workloadKey, attempt.job.demand(), Resources::plus);
        throttled |= attempt.everThrottled;
      }
    }
    if (!throttled) {
      workloadEstimator.recordUsage(declared, report.cpuMillis(), report.memoryMb());
    }
  }
}
