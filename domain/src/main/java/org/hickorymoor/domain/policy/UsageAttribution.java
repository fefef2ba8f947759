package org.hickorymoor.domain.policy;

import java.util.HashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;

/** Shares what a worker reports out among the work that ran on it at the time of the report. */
final class UsageAttribution {

  private UsageAttribution() {}

  /** Learns the sizes of all that a report counts; throttled work says nothing of its size. */
  static void attribute(WorkerLoad worker, UsageReport report, long nowMs, SizeLearner sizes) {
    long atMs = nowMs - report.ageMs();
    Map<WorkKey, Resources> declared = new HashMap<>();
    boolean throttled = false;
    for (RunningAttempt attempt : worker.attempts.values()) {
      if (attempt.startedMs < atMs) {
        declared.merge(attempt.job.workKey, attempt.job.demand(), Resources::plus);
        throttled |= attempt.everThrottled;
      }
    }
    for (RunningAttempt attempt : worker.recentEnds) {
      if (CapacityLearner.inReport(attempt, atMs)) {
        declared.merge(attempt.job.workKey, attempt.job.demand(), Resources::plus);
        throttled |= attempt.everThrottled;
      }
    }
    if (!throttled) {
      sizes.used(declared, report.cpuMillis(), report.memoryMb());
    }
  }
}
