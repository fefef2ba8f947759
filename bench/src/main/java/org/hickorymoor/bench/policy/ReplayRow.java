package org.hickorymoor.bench.policy;

import java.util.List;
import org.HdrHistogram.Histogram;
import org.hickorymoor.domain.job.JobClass;

/**
 * Result of one replay with one scheduler.
 *
 * @param load factor applied to the arrival rates
 * @param seed random seed of the arrivals
 * @param scheduler name of the scheduler
 * @param result the collected metrics
 */
record ReplayRow(double load, long seed, String scheduler, ReplayResult result) {

  private static final long URGENT_WAIT_TARGET_MS = 1_100;

  static final List<String> HEADER =
      List.of(
          "load",
          "seed",
          "scheduler",
          "urgentWaitP50Ms",
          "urgentWaitP99Ms",
          "urgentWithin1100MsShare",
          "normalWaitMeanMs",
          "normalWaitP99Ms",
          "batchWaitMeanMs",
          "batchWaitP99Ms",
          "allAtOnceWaitMeanMs",
          "allAtOnceWaitMaxMs",
          "acceleratorWaitMeanMs",
          "acceleratorWaitP99Ms",
          "usedShareWhileWaiting",
          "meanWorkersTouched",
          "overusedShare",
          "decisions",
          "throttles",
          "preemptions",
          "lostRunMs",
          "startedTasks",
          "neverStartedTasks");

  List<Object> values() {
    Histogram urgent = result.waitMs(JobClass.URGENT);
    Histogram normal = result.waitMs(JobClass.NORMAL);
    Histogram batch = result.waitMs(JobClass.BATCH);
    return List.of(
        load,
        seed,
        scheduler,
        urgent.getValueAtPercentile(50),
        urgent.getValueAtPercentile(99),
        roundToThousandths(urgent.getPercentileAtOrBelowValue(URGENT_WAIT_TARGET_MS) / 100),
        roundToThousandths(normal.getMean()),
        normal.getValueAtPercentile(99),
        roundToThousandths(batch.getMean()),
        batch.getValueAtPercentile(99),
        roundToThousandths(result.allAtOnceWaitMs.getMean()),
        result.allAtOnceWaitMs.getMaxValue(),
        roundToThousandths(result.acceleratorWaitMs.getMean()),
        result.acceleratorWaitMs.getValueAtPercentile(99),
        roundToThousandths(result.usedShareWhileWaiting()),
        roundToThousandths(result.meanActiveWorkers()),
        roundToThousandths(result.overloadedShare()),
        result.decisions,
        result.throttles,
        result.preemptions,
        result.lostRunMs,
        result.startedTasks,
        result.neverStartedTasks);
  }

  @Override
  public String toString() {
    return values().toString();
  }

  private static double roundToThousandths(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }
}
