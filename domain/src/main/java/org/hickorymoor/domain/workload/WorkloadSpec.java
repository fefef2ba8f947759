package org.hickorymoor.domain.workload;

import java.util.List;

/**
 * What a caller submits: steps that depend on each other, run once or at set times.
 *
 * @param payload what workers are handed with each task; opaque to the scheduler
 * @param steps the steps; each depends on earlier ones only
 * @param repetitions number of scheduled runs; 0 for one run at once
 * @param firstRunMs Unix time of the first scheduled run
 * @param intervalMs time between scheduled runs
 */
public record WorkloadSpec(
    String payload, List<StepSpec> steps, int repetitions, long firstRunMs, long intervalMs) {

  /** Checks that each step depends on earlier steps only, and copies the list. */
  public WorkloadSpec {
    steps = List.copyOf(steps);
    if (steps.isEmpty()) {
      throw new IllegalArgumentException("steps: expected at least one step, got none");
    }
    for (int number = 0; number < steps.size(); number++) {
      for (int earlier : steps.get(number).after()) {
        if (earlier < 0 || earlier >= number) {
          throw new IllegalArgumentException(
              "step " + number + ": expected a dependency on an earlier step, got " + earlier);
        }
      }
    }
  }

  /** Returns how often the steps run. */
  public int occurrences() {
    return Math.max(1, repetitions);
  }

  /**
   * Returns when an occurrence may start.
   *
   * @param occurrence its number, from 0
   * @return Unix time in milliseconds; 0 for a job that is not scheduled
   */
  public long dueMs(int occurrence) {
    return repetitions == 0 ? 0 : firstRunMs + occurrence * intervalMs;
  }

  /**
   * Returns the length of the longest chain of dependent steps, from the caller's estimates.
   *
   * @return milliseconds
   */
  public long longestChainMs() {
    long[] endMs = new long[steps.size()];
    long longestMs = 0;
    for (int number = 0; number < endMs.length; number++) {
      for (int earlier : steps.get(number).after()) {
        endMs[number] = Math.max(endMs[number], endMs[earlier]);
      }
      endMs[number] += steps.get(number).estimatedMs();
      longestMs = Math.max(longestMs, endMs[number]);
    }
    return longestMs;
  }
}
