package org.hickorymoor.standins.worker;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How far a worker's behaviour is from what was declared.
 *
 * @param drainPercent true speed as a share of the declared one; 25 makes tasks take four times as
 *     long, 0 lets none end
 * @param cpuPercent true processor use as a share of that of the payload
 * @param memoryPercent true memory use as a share of that of the payload
 * @param failAll whether every task fails as soon as it has started
 * @param usageMissing whether usage reports stay as they were when this was set
 */
public record WorkerNoise(
    int drainPercent, int cpuPercent, int memoryPercent, boolean failAll, boolean usageMissing) {

  private static final int FULL_PERCENT = 100;

  /** A worker that behaves as declared. */
  public static final WorkerNoise NONE =
      new WorkerNoise(FULL_PERCENT, FULL_PERCENT, FULL_PERCENT, false, false);

  /** Checks the ranges. */
  public WorkerNoise {
    checkArgument(drainPercent >= 0, "drainPercent must not be negative, got %s", drainPercent);
    checkArgument(cpuPercent >= 0, "cpuPercent must not be negative, got %s", cpuPercent);
    checkArgument(memoryPercent >= 0, "memoryPercent must not be negative, got %s", memoryPercent);
  }

  /**
   * Returns this noise at another true speed.
   *
   * @param percent true speed as a share of the declared one
   * @return the changed noise
   */
  public WorkerNoise withDrainPercent(int percent) {
    return new WorkerNoise(percent, cpuPercent, memoryPercent, failAll, usageMissing);
  }

  /**
   * Returns this noise with other true use of processor and memory.
   *
   * @param cpu true processor use as a share of that of the payload, in percent
   * @param memory true memory use as a share of that of the payload, in percent
   * @return the changed noise
   */
  public WorkerNoise withUsePercent(int cpu, int memory) {
    return new WorkerNoise(drainPercent, cpu, memory, failAll, usageMissing);
  }

  /**
   * Returns this noise with every task failing, or not.
   *
   * @param fail whether every task fails as soon as it has started
   * @return the changed noise
   */
  public WorkerNoise withFailAll(boolean fail) {
    return new WorkerNoise(drainPercent, cpuPercent, memoryPercent, fail, usageMissing);
  }

  /**
   * Returns this noise with usage reports missing, or not.
   *
   * @param missing whether usage reports stay as they were
   * @return the changed noise
   */
  public WorkerNoise withUsageMissing(boolean missing) {
    return new WorkerNoise(drainPercent, cpuPercent, memoryPercent, failAll, missing);
  }
}
