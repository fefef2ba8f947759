package org.hickorymoor.domain.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;

/** Estimates run times and actual resource usage per workload from recent samples. */
final class WorkloadEstimator {

  private static final int MAX_WORKLOADS = 10_000;
  private static final int MIN_SAMPLES = 4;
  private static final double RUN_TIME_QUANTILE = 0.75;
  private static final double LEARNING_RATE = 0.5;
  private static final double SAFETY_FACTOR = 1.1;
  private static final double MIN_UNCERTAINTY = 0.02;

  private static final double MIN_FACTOR = 0.1;
  private static final double MAX_FACTOR = 8;

  private final Map<WorkloadKey, WorkloadStats> statsByKey =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkloadKey, WorkloadStats> eldest) {
          return size() > MAX_WORKLOADS;
        }
      };

  /** Records the run time of a successful attempt. */
  void recordRunTime(WorkloadKey key, String workerId, long runMs) {
    WorkloadStats stats = stats(key);
    stats.runMs.add((double) runMs);
    if (stats.succeededOnWorkerId.isEmpty()) {
      stats.succeededOnWorkerId = workerId;
    } else if (!stats.succeededOnWorkerId.equals(workerId)) {
      stats.succeededOnSeveralWorkers = true;
    }
  }

  /**
   * Records the total usage of a worker. The error against the expected usage is distributed over
   * the workloads by uncertainty and declared demand, so that each estimate converges to the
   * workload's own usage over many mixes of workloads.
   *
   * @param declared the total declared demand of the attempts that ran, by workload
   * @param cpuMillis the processor time that they used together
   * @param memoryMb the memory that they used together
   */
  void recordUsage(Map<WorkloadKey, Resources> declared, int cpuMillis, int memoryMb) {
    double cpuError = cpuMillis;
    double cpuNorm = 0;
    double memoryError = memoryMb;
    double memoryNorm = 0;
    for (Map.Entry<WorkloadKey, Resources> entry : declared.entrySet()) {
      WorkloadStats stats = stats(entry.getKey());
      double cpu = entry.getValue().cpuMillis();
      double memory = entry.getValue().memoryMb();
      cpuError -= cpu * stats.cpuFactor;
      cpuNorm += stats.uncertainty * cpu * cpu;
      memoryError -= memory * stats.memoryFactor;
      memoryNorm += stats.uncertainty * memory * memory;
    }
    for (Map.Entry<WorkloadKey, Resources> entry : declared.entrySet()) {
      WorkloadStats stats = stats(entry.getKey());
      double cpuGain =
          ResourceMath.ratio(stats.uncertainty * entry.getValue().cpuMillis(), cpuNorm);
      double memoryGain =
          ResourceMath.ratio(stats.uncertainty * entry.getValue().memoryMb(), memoryNorm);
      stats.cpuFactor = clamp(stats.cpuFactor + LEARNING_RATE * cpuGain * cpuError);
      stats.memoryFactor = clamp(stats.memoryFactor + LEARNING_RATE * memoryGain * memoryError);
      stats.hasUsage = true;
      double share = cpuGain * entry.getValue().cpuMillis();
      stats.uncertainty =
          Math.max(MIN_UNCERTAINTY, stats.uncertainty * (1 - LEARNING_RATE * share));
    }
  }

  /** Returns a run time relative to the workload's upper quartile, or 1 with too few samples. */
  double relativeRunTime(WorkloadKey key, long runMs) {
    WorkloadStats stats = stats(key);
    double mostMs = stats.runMs.quantile(RUN_TIME_QUANTILE);
    return stats.runMs.count() < MIN_SAMPLES || mostMs <= 0 ? 1 : runMs / mostMs;
  }

  /** Returns a quantile of the run times of a workload, or 0 without samples. */
  double runTimeQuantileMs(WorkloadKey key, double share) {
    return stats(key).runMs.quantile(share);
  }

  /** Returns the expected usage of a task, never less than declared. */
  Resources expectedDemand(WorkloadKey key, Resources declared) {
    WorkloadStats stats = statsByKey.get(key);
    if (stats == null || !stats.hasUsage) {
      return declared;
    }
    double cpu = Math.max(1, stats.cpuFactor * SAFETY_FACTOR);
    double memory = Math.max(1, stats.memoryFactor * SAFETY_FACTOR);
    return new Resources(
        declared.slots(),
        declared.connections(),
        (int) (declared.cpuMillis() * cpu),
        (int) (declared.memoryMb() * memory),
        declared.accelerators());
  }

  /** Returns whether an attempt of the workload has succeeded on a worker other than this one. */
  boolean succeededElsewhere(WorkloadKey key, String workerId) {
    WorkloadStats stats = statsByKey.get(key);
    if (stats == null || stats.succeededOnWorkerId.isEmpty()) {
      return false;
    }
    return stats.succeededOnSeveralWorkers || !stats.succeededOnWorkerId.equals(workerId);
  }

  private static double clamp(double factor) {
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }

  private WorkloadStats stats(WorkloadKey key) {
    return statsByKey.computeIfAbsent(key, unused -> new WorkloadStats());
  }

  private static final class WorkloadStats {
    final RecentSamples runMs = new RecentSamples();
    double cpuFactor = 1;
    double memoryFactor = 1;
    double uncertainty = 1;
    boolean hasUsage;
    String succeededOnWorkerId = "";
    boolean succeededOnSeveralWorkers;
  }
}
