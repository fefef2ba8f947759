package org.hickorymoor.domain.policy;

import java.util.HashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;

/** Shares what a worker reports out among the work that ran on it at the time of the report. */
final class UsageAttribution {

  private UsageAttribution() {}

  /** Learns the sizes of all that a report counts; throttled work says nothing of its size. */
  static void attribute(
      WorkerLoad worker, UsageReport report, long nowMs, WorkloadEstimator workloads) {
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
      workloads.recordUsage(declared, report.cpuMillis(), report.memoryMb());
    }
  }
}
