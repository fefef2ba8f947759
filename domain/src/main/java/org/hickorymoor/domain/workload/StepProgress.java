package org.hickorymoor.domain.workload;

import java.util.ArrayList;
import java.util.List;

/** The tasks of one step of one occurrence. Not safe for use by several threads. */
public final class StepProgress {

  private final int number;
  private final StepSpec spec;
  private final List<TaskSlot> slots;
  private int failedGangRuns;
  private int lastFailedGangRun;

  StepProgress(String jobId, int occurrence, int number, StepSpec spec) {
    this.number = number;
    this.spec = spec;
    this.slots = new ArrayList<>(spec.count());
    for (int index = 0; index < spec.count(); index++) {
      slots.add(new TaskSlot(new TaskId(jobId, occurrence, number, index), spec));
    }
  }

  /** Returns the number of the step. */
  public int number() {
    return number;
  }

  /** Returns what the step asks for. */
  public StepSpec spec() {
    return spec;
  }

  /** Returns the tasks. */
  public List<TaskSlot> slots() {
    return slots;
  }

  /** Returns the name of the step, as {@code job.occurrence.step}. */
  public String name() {
    return slots.get(0).id().stepName();
  }

  /** Returns whether every task has succeeded. */
  public boolean isDone() {
    return count(TaskSlot.Phase.DONE) == slots.size();
  }

  /** Returns how many tasks are in a phase. */
  public int count(TaskSlot.Phase phase) {
    int count = 0;
    for (TaskSlot slot : slots) {
      if (slot.phase() == phase) {
        count++;
      }
    }
    return count;
  }

  /** Returns the highest run of any task, which a gang shares. */
  public int highestRun() {
    int highest = 0;
    for (TaskSlot slot : slots) {
      highest = Math.max(highest, slot.run());
    }
    return highest;
  }

  /** Returns how many runs of the gang have failed. */
  public int failedGangRuns() {
    return failedGangRuns;
  }

  /** Counts a failed run of a gang once, however many members report it. */
  public void countGangFailure(int run) {
    if (run > lastFailedGangRun) {
      lastFailedGangRun = run;
      failedGangRuns++;
    }
  }

  /** Puts a stored count back. */
  public void restoreGangFailures(int failed, int lastRun) {
    failedGangRuns = failed;
    lastFailedGangRun = lastRun;
  }

  /** Returns the run of the gang that failed last; 0 for none. */
  public int lastFailedGangRun() {
    return lastFailedGangRun;
  }
}
