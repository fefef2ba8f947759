package org.hickorymoor.domain.workload;

import java.util.ArrayList;
import java.util.List;

/** The tasks of one step in one occurrence of a job. Not thread-safe. */
public final class StepProgress {

  private final int index;
  private final StepSpec spec;
  private final List<TaskProgress> tasks;
  private int failedGangRuns;
  private int lastFailedGangRun;

  StepProgress(String jobId, int occurrence, int index, StepSpec spec) {
    this.index = index;
    this.spec = spec;
    this.tasks = new ArrayList<>(spec.count());
    for (int taskIndex = 0; taskIndex < spec.count(); taskIndex++) {
      tasks.add(new TaskProgress(new TaskId(jobId, occurrence, index, taskIndex), spec));
    }
  }

  /** Returns the index of the step within the job. */
  public int index() {
    return index;
  }

  /** Returns the specification of the step. */
  public StepSpec spec() {
    return spec;
  }

  /** Returns the tasks, by index. */
  public List<TaskProgress> tasks() {
    return tasks;
  }

  /** Returns the name of the step, as {@code job.occurrence.step}. */
  public String name() {
    return tasks.get(0).id().stepName();
  }

  /** Returns whether every task has succeeded. */
  public boolean isDone() {
    return count(TaskProgress.Phase.DONE) == tasks.size();
  }

  /** Returns the number of tasks in a phase. */
  public int count(TaskProgress.Phase phase) {
    int count = 0;
    for (TaskProgress task : tasks) {
      if (task.phase() == phase) {
        count++;
      }
    }
    return count;
  }

  /** Returns the highest run number of any task; the members of a gang share it. */
  public int highestRun() {
    int highest = 0;
    for (TaskProgress task : tasks) {
      highest = Math.max(highest, task.run());
    }
    return highest;
  }

  /** Returns the number of failed runs of the gang. */
  public int failedGangRuns() {
    return failedGangRuns;
  }

  /** Records a failed run of the gang; further reports of the same run have no effect. */
  public void recordGangFailure(int run) {
    if (run > lastFailedGangRun) {
      lastFailedGangRun = run;
      failedGangRuns++;
    }
  }

  /** Restores the failure count from the ledger. */
  public void restoreGangFailures(int failed, int lastRun) {
    failedGangRuns = failed;
    lastFailedGangRun = lastRun;
  }

  /** Returns the number of the last failed run of the gang; 0 if none has failed. */
  public int lastFailedGangRun() {
    return lastFailedGangRun;
  }
}
