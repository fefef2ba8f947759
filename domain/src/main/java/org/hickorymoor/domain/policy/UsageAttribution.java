package org.hickorymoor.domain.policy;

import java.util.LinkedHashSet;
import java.util.Set;
import org.hickorymoor.domain.Resources;

/** Shares what a worker reports out among the work that ran on it. */
final class UsageAttribution {

  private UsageAttribution() {}

  /**
   * Takes the ratio of real to declared use in for each kind of work on a worker. Reports that
   * attempts started or ended after are of no use for that.
   */
  static void attribute(WorkerLoad worker, UsageReport report, long nowMs, SizeLearner sizes) {
    long atMs = nowMs - report.ageMs();
    if (worker.lastEndMs >= atMs) {
      return;
    }
    Resources declared = Resources.NONE;
    Set<WorkKey> keys = new LinkedHashSet<>();
    for (RunningAttempt attempt : worker.attempts.values()) {
      if (attempt.startedMs >= atMs || attempt.everThrottled) {
        return;
      }
      declared = declared.plus(attempt.job.demand());
      keys.add(attempt.job.workKey);
    }
    double cpu = Amounts.ratio(report.cpuMillis(), declared.cpuMillis());
    double memory = Amounts.ratio(report.memoryMb(), declared.memoryMb());
    keys.forEach(key -> sizes.used(key, cpu, memory));
  }
}
