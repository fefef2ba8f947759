package org.hickorymoor.bench.policy;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.hickorymoor.domain.job.JobClass;

/** Metrics collected during one replay. */
final class ReplayResult {

  private static final int SIGNIFICANT_DIGITS = 3;

  /** Time from arrival to the first start of each task, by job class. */
  final Map<JobClass, Histogram> waitMs = new EnumMap<>(JobClass.class);

  /** Waiting time of tasks that demand accelerators. */
  final Histogram acceleratorWaitMs = new Histogram(SIGNIFICANT_DIGITS);

  /** Waiting time of tasks of all-at-once jobs. */
  final Histogram allAtOnceWaitMs = new Histogram(SIGNIFICANT_DIGITS);

  long startedTasks;
  long neverStartedTasks;
  long decisions;
  long throttles;
  long preemptions;
  long lostRunMs;
  private double usedShareSum;
  private long usedShareSamples;
  private double activeWorkersSum;
  private long activeWorkersSamples;
  private long overloadedSamples;
  private long workerSamples;

  ReplayResult() {
    for (JobClass jobClass : JobClass.values()) {
      waitMs.put(jobClass, new Histogram(SIGNIFICANT_DIGITS));
    }
  }

  Histogram waitMs(JobClass jobClass) {
    return waitMs.computeIfAbsent(jobClass, unused -> new Histogram(SIGNIFICANT_DIGITS));
  }

  /** Records the share of slots in use; called only while arrived tasks are not yet started. */
  void sampleSlotUtilization(double usedShare) {
    usedShareSum += usedShare;
    usedShareSamples++;
  }

  /** Records the number of workers that run at least one task. */
  void sampleActiveWorkers(int workers) {
    activeWorkersSum += workers;
    activeWorkersSamples++;
  }

  /** Records whether the actual usage of one worker exceeds its CPU or memory capacity. */
  void sampleOverload(boolean overloaded) {
    workerSamples++;
    overloadedSamples += overloaded ? 1 : 0;
  }

  double overloadedShare() {
    return workerSamples == 0 ? 0 : (double) overloadedSamples / workerSamples;
  }

  double usedShareWhileWaiting() {
    return usedShareSamples == 0 ? 0 : usedShareSum / usedShareSamples;
  }

  double meanActiveWorkers() {
    return activeWorkersSamples == 0 ? 0 : activeWorkersSum / activeWorkersSamples;
  }
}
