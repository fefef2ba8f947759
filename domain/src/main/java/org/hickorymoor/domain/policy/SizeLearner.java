package org.hickorymoor.domain.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;

/** Learns run times and real sizes of each kind of work from the latest samples. */
final class SizeLearner {

  private static final int MAX_KINDS = 10_000;
  private static final int MIN_SAMPLES = 4;
  private static final double MOST = 0.75;
  private static final double LARGE = 0.9;
  private static final double MAX_RATIO = 4;

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

  /** Takes real use over declared use in, for processors and memory. */
  void used(WorkKey key, double cpuRatio, double memoryRatio) {
    Kind kind = kind(key);
    kind.cpuRatio.add(cpuRatio);
    kind.memoryRatio.add(memoryRatio);
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
    if (kind == null || kind.cpuRatio.count() < MIN_SAMPLES) {
      return declared;
    }
    double cpu = Math.min(MAX_RATIO, Math.max(1, kind.cpuRatio.quantile(LARGE)));
    double memory = Math.min(MAX_RATIO, Math.max(1, kind.memoryRatio.quantile(LARGE)));
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

  private Kind kind(WorkKey key) {
    return kinds.computeIfAbsent(key, unused -> new Kind());
  }

  private static final class Kind {
    final RecentSamples runMs = new RecentSamples();
    final RecentSamples cpuRatio = new RecentSamples();
    final RecentSamples memoryRatio = new RecentSamples();
    String succeededOn = "";
    boolean succeededOnSeveral;
  }
}
