package org.hickorymoor.domain.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;

/** Learns run times and real sizes of each kind of work from the latest samples. */
final class SizeLearner {

  private static final int MAX_KINDS = 10_000;
  private static final int MIN_SAMPLES = 4;
  private static final double MOST = 0.75;
  private static final double STEP = 0.5;
  private static final double SAFETY = 1.1;
  private static final double MIN_DOUBT = 0.02;

  private static final double MIN_FACTOR = 0.1;
  private static final double MAX_FACTOR = 8;

  private final Map<WorkKey, Kind> kinds =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkKey, Kind> eldest) {
          return size() > MAX_KINDS;
        }
      };

  /** Takes the run time of an attempt that succeeded in. */
  void ran(WorkKey key, String workerId, long runMs) {
    Kind kind = kind(key);
    kind.runMs.add((double) runMs);
    if (kind.succeededOn.isEmpty()) {
      kind.succeededOn = workerId;
    } else if (!kind.succeededOn.equals(workerId)) {
      kind.succeededOnSeveral = true;
    }
  }

  /**
   * Takes what a worker used in. The difference from what was expected is shared out by doubt and
   * declared size, so that over many mixes of work each kind comes near its own size.
   *
   * @param declared declared sizes of all that ran, by kind
   * @param cpuMillis processor time that it used together
   * @param memoryMb memory that it used together
   */
  void used(Map<WorkKey, Resources> declared, int cpuMillis, int memoryMb) {
    double cpuError = cpuMillis;
    double cpuNorm = 0;
    double memoryError = memoryMb;
    double memoryNorm = 0;
    for (Map.Entry<WorkKey, Resources> entry : declared.entrySet()) {
      Kind kind = kind(entry.getKey());
      double cpu = entry.getValue().cpuMillis();
      double memory = entry.getValue().memoryMb();
      cpuError -= cpu * kind.cpuFactor;
      cpuNorm += kind.doubt * cpu * cpu;
      memoryError -= memory * kind.memoryFactor;
      memoryNorm += kind.doubt * memory * memory;
    }
    for (Map.Entry<WorkKey, Resources> entry : declared.entrySet()) {
      Kind kind = kind(entry.getKey());
      double cpuGain = Amounts.ratio(kind.doubt * entry.getValue().cpuMillis(), cpuNorm);
      double memoryGain = Amounts.ratio(kind.doubt * entry.getValue().memoryMb(), memoryNorm);
      kind.cpuFactor = clamp(kind.cpuFactor + STEP * cpuGain * cpuError);
      kind.memoryFactor = clamp(kind.memoryFactor + STEP * memoryGain * memoryError);
      kind.useReported = true;
      double share = cpuGain * entry.getValue().cpuMillis();
      kind.doubt = Math.max(MIN_DOUBT, kind.doubt * (1 - STEP * share));
    }
  }

  /** Returns a run time over what most stay below, or 1 where too little is known. */
  double relativeRunTime(WorkKey key, long runMs) {
    Kind kind = kind(key);
    double mostMs = kind.runMs.quantile(MOST);
    return kind.runMs.count() < MIN_SAMPLES || mostMs <= 0 ? 1 : runMs / mostMs;
  }

  /** Returns the run time that a share of the attempts stays below; 0 where nothing is known. */
  double runMs(WorkKey key, double share) {
    return kind(key).runMs.quantile(share);
  }

  /** Returns what a task is expected to use, never less than declared. */
  Resources expected(WorkKey key, Resources declared) {
    Kind kind = kinds.get(key);
    if (kind == null || !kind.useReported) {
      return declared;
    }
    double cpu = Math.max(1, kind.cpuFactor * SAFETY);
    double memory = Math.max(1, kind.memoryFactor * SAFETY);
    return new Resources(
        declared.slots(),
        declared.connections(),
        (int) (declared.cpuMillis() * cpu),
        (int) (declared.memoryMb() * memory),
        declared.accelerators());
  }

  /** Tells whether work of this kind has succeeded on some other worker than the given one. */
  boolean succeededElsewhere(WorkKey key, String workerId) {
    Kind kind = kinds.get(key);
    if (kind == null || kind.succeededOn.isEmpty()) {
      return false;
    }
    return kind.succeededOnSeveral || !kind.succeededOn.equals(workerId);
  }

  private static double clamp(double factor) {
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }

  private Kind kind(WorkKey key) {
    return kinds.computeIfAbsent(key, unused -> new Kind());
  }

  private static final class Kind {
    final RecentSamples runMs = new RecentSamples();
    double cpuFactor = 1;
    double memoryFactor = 1;
    double doubt = 1;
    boolean useReported;
    String succeededOn = "";
    boolean succeededOnSeveral;
  }
}
