package org.hickorymoor.bench.policy;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.hickorymoor.domain.job.JobClass;

/** What was measured in one replay. */
final class ReplayResult {

  private static final int DIGITS = 3;

  /** Time from arrival to the first start of each task, in milliseconds. */
  final Map<JobClass, Histogram> waitMs = new EnumMap<>(JobClass.class);

  /** The same for tasks in need of accelerators. */
  final Histogram acceleratorWaitMs = new Histogram(DIGITS);

  /** The same for tasks that start all at once. */
  final Histogram togetherWaitMs = new Histogram(DIGITS);

  long startedTasks;
  long neverStartedTasks;
  long decisions;
  long throttles;
  long preemptions;
  long lostRunMs;
  private double usedShareSum;
  private long usedShareSamples;
  private double touchedSum;
  private long touchedSamples;
  private long overusedSamples;
  private long workerSamples;

  ReplayResult() {
    for (JobClass jobClass : JobClass.values()) {
      waitMs.put(jobClass, new Histogram(DIGITS));
    }
  }

  Histogram waitMs(JobClass jobClass) {
    return waitMs.computeIfAbsent(jobClass, unused -> new Histogram(DIGITS));
  }

  /** Counts the share of the slots in use while something waits. */
  void sampleUse(double usedShare) {
    usedShareSum += usedShare;
    usedShareSamples++;
  }

  /** Counts the workers that run something. */
  void sampleTouched(int workers) {
    touchedSum += workers;
    touchedSamples++;
  }

  /** Counts whether the true use of a worker exceeds what it holds. */
  void sampleOveruse(boolean overused) {
    workerSamples++;
    overusedSamples += overused ? 1 : 0;
  }

  double overusedShare() {
    return workerSamples == 0 ? 0 : (double) overusedSamples / workerSamples;
  }

  double usedShareWhileWaiting() {
    return usedShareSamples == 0 ? 0 : usedShareSum / usedShareSamples;
  }

  double meanWorkersTouched() {
    return touchedSamples == 0 ? 0 : touchedSum / touchedSamples;
  }
}
