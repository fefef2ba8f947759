package org.hickorymoor.domain.workload;

import java.util.List;
import java.util.function.IntToLongFunction;

/**
 * Specification of a job: steps with dependencies that run once or on a schedule.
 *
 * @param payload data passed to the worker with each task; opaque to the scheduler
 * @param steps the steps; each can depend on earlier ones only
 * @param repetitions number of scheduled runs; 0 for one immediate run
 * @param firstRunMs Unix time of the first scheduled run
 * @param intervalMs time between the starts of scheduled runs
 */
public record WorkloadSpec(
    String payload, List<StepSpec> steps, int repetitions, long firstRunMs, long intervalMs) {

  /**
   * Maximum number of tasks in one occurrence. The progress of all of them is one record of the
   * store, which takes 256 KiB.
   */
  public static final int MAX_TASKS = 4_000;

  /**
   * Checks the number of tasks and that each step depends on earlier steps only; copies the list.
   */
  public WorkloadSpec {
    steps = List.copyOf(steps);
    long tasks = steps.stream().mapToLong(StepSpec::count).sum();
    if (tasks > MAX_TASKS) {
      throw new IllegalArgumentException(
          "steps: expected at most " + MAX_TASKS + " tasks, got " + tasks);
    }
    if (steps.isEmpty()) {
      throw new IllegalArgumentException("steps: expected at least one step, got none");
    }
    for (int index = 0; index < steps.size(); index++) {
      for (int dependency : steps.get(index).dependencies()) {
        if (dependency < 0 || dependency >= index) {
          throw new IllegalArgumentException(
              "step " + index + ": expected a dependency on an earlier step, got " + dependency);
        }
      }
    }
  }

  /** Returns how many times the steps run. */
  public int occurrences() {
    return Math.max(1, repetitions);
  }

  /**
   * Returns the earliest start of an occurrence.
   *
   * @param occurrence index of the occurrence, from 0
   * @return Unix time in milliseconds; 0 for a job that is not scheduled
   */
  public long dueMs(int occurrence) {
    return repetitions == 0 ? 0 : firstRunMs + occurrence * intervalMs;
  }

  /**
   * Returns the length of the critical path.
   *
   * @param stepMs run time of the tasks of each step
   * @return milliseconds
   */
  public long criticalPathMs(IntToLongFunction stepMs) {
    long[] endMs = new long[steps.size()];
    long longestMs = 0;
    for (int index = 0; index < endMs.length; index++) {
      for (int dependency : steps.get(index).dependencies()) {
        endMs[index] = Math.max(endMs[index], endMs[dependency]);
      }
      endMs[index] += stepMs.applyAsLong(index);
      longestMs = Math.max(longestMs, endMs[index]);
    }
    return longestMs;
  }
}
