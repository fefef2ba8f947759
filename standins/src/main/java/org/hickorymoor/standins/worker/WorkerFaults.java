package org.hickorymoor.standins.worker;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Faults of a worker: deviations of its behavior from what is declared.
 *
 * @param drainPercent actual speed as a percentage of the declared speed; at 25 tasks take four
 *     times as long, at 0 none ends
 * @param cpuPercent actual CPU usage as a percentage of that in the payload
 * @param memoryPercent actual memory usage as a percentage of that in the payload
 * @param failAll whether every task fails immediately after its start
 * @param usageMissing whether usage reports are frozen at the time when this was set
 */
public record WorkerFaults(
    int drainPercent, int cpuPercent, int memoryPercent, boolean failAll, boolean usageMissing) {

  private static final int FULL_PERCENT = 100;

  /** No faults: the worker behaves as declared. */
  public static final WorkerFaults NONE =
      new WorkerFaults(FULL_PERCENT, FULL_PERCENT, FULL_PERCENT, false, false);

  /** Validates the ranges. */
  public WorkerFaults {
    checkArgument(drainPercent >= 0, "drainPercent must not be negative, got %s", drainPercent);
    checkArgument(cpuPercent >= 0, "cpuPercent must not be negative, got %s", cpuPercent);
    checkArgument(memoryPercent >= 0, "memoryPercent must not be negative, got %s", memoryPercent);
  }

  /**
   * Returns these faults with another actual speed.
   *
   * @param percent actual speed as a percentage of the declared speed
   * @return the changed faults
   */
  public WorkerFaults withDrainPercent(int percent) {
    return new WorkerFaults(percent, cpuPercent, memoryPercent, failAll, usageMissing);
  }

  /**
   * Returns these faults with other actual CPU and memory usage.
   *
   * @param cpu actual CPU usage as a percentage of that in the payload
   * @param memory actual memory usage as a percentage of that in the payload
   * @return the changed faults
   */
  public WorkerFaults withUsagePercent(int cpu, int memory) {
    return new WorkerFaults(drainPercent, cpu, memory, failAll, usageMissing);
  }

  /**
   * Returns these faults with failure of every task switched on or off.
   *
   * @param fail whether every task fails immediately after its start
   * @return the changed faults
   */
  public WorkerFaults withFailAll(boolean fail) {
    return new WorkerFaults(drainPercent, cpuPercent, memoryPercent, fail, usageMissing);
  }

  /**
   * Returns these faults with usage reports frozen or live.
   *
   * @param missing whether usage reports are frozen
   * @return the changed faults
   */
  public WorkerFaults withUsageMissing(boolean missing) {
    return new WorkerFaults(drainPercent, cpuPercent, memoryPercent, failAll, missing);
  }
}
