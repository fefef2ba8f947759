package org.hickorymoor.domain.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** A job and the progress of its tasks. Not thread-safe. */
public final class JobProgress {

  private final Submission submission;
  private final SortedMap<Integer, List<StepProgress>> occurrences = new TreeMap<>();
  private WorkloadState state = WorkloadState.QUEUED;

  /**
   * Creates a job without any placed tasks.
   *
   * @param submission the job as it was accepted
   */
  public JobProgress(Submission submission) {
    this.submission = submission;
  }

  /** Returns the job as it was accepted. */
  public Submission submission() {
    return submission;
  }

  /** Returns the current state of the job. */
  public WorkloadState state() {
    return state;
  }

  /** Returns the steps of each occurrence that has begun, by occurrence index. */
  public SortedMap<Integer, List<StepProgress>> occurrences() {
    return occurrences;
  }

  /**
   * Creates the steps of the occurrences that are due, as long as the job has at most {@link
   * WorkloadSpec#MAX_TASKS} unfinished tasks.
   *
   * @param nowMs Unix time
   */
  public void startDueOccurrences(long nowMs) {
    WorkloadSpec spec = submission.spec();
    int next = occurrences.isEmpty() ? 0 : occurrences.lastKey() + 1;
    long tasks = spec.steps().stream().mapToLong(StepSpec::count).sum();
    long room = WorkloadSpec.MAX_TASKS - unfinishedTasks();
    while (next < spec.occurrences() && spec.dueMs(next) <= nowMs && room >= tasks) {
      steps(next);
      next++;
      room -= tasks;
    }
  }

  private long unfinishedTasks() {
    long unfinished = 0;
    for (List<StepProgress> steps : occurrences.values()) {
      for (StepProgress step : steps) {
        unfinished += step.tasks().size() - step.count(TaskProgress.Phase.DONE);
      }
    }
    return unfinished;
  }

  /** Returns the steps of an occurrence; creates them if it has not begun yet. */
  public List<StepProgress> steps(int occurrence) {
    return occurrences.computeIfAbsent(
        occurrence,
        index -> {
          List<StepProgress> steps = new ArrayList<>();
          List<StepSpec> specs = submission.spec().steps();
          for (int step = 0; step < specs.size(); step++) {
            steps.add(new StepProgress(submission.jobId(), index, step, specs.get(step)));
          }
          return steps;
        });
  }

  /** Returns the task with the given ID, or null if there is none. */
  public @Nullable TaskProgress task(TaskId id) {
    List<StepProgress> steps = occurrences.get(id.occurrence());
    if (steps == null || id.step() < 0 || id.step() >= steps.size()) {
      return null;
    }
    List<TaskProgress> tasks = steps.get(id.step()).tasks();
    return id.index() < 0 || id.index() >= tasks.size() ? null : tasks.get(id.index());
  }

  /** Returns the steps that have idle tasks and whose dependencies have all succeeded. */
  public List<StepProgress> readySteps() {
    List<StepProgress> ready = new ArrayList<>();
    if (state.isFinal()) {
      return ready;
    }
    for (List<StepProgress> steps : occurrences.values()) {
      for (StepProgress step : steps) {
        if (step.count(TaskProgress.Phase.IDLE) > 0 && isUnblocked(step, steps)) {
          ready.add(step);
        }
      }
    }
    return ready;
  }

  private static boolean isUnblocked(StepProgress step, List<StepProgress> steps) {
    for (int dependency : step.spec().dependencies()) {
      if (!steps.get(dependency).isDone()) {
        return false;
      }
    }
    // A gang is restarted only after all members of its previous run have ended.
    return !step.spec().gang() || step.count(TaskProgress.Phase.PLACED) == 0;
  }

  /** Returns the tasks that are placed on a worker. */
  public List<TaskProgress> placedTasks() {
    List<TaskProgress> placed = new ArrayList<>();
    for (List<StepProgress> steps : occurrences.values()) {
      for (StepProgress step : steps) {
        for (TaskProgress task : step.tasks()) {
          if (task.phase() == TaskProgress.Phase.PLACED) {
            placed.add(task);
          }
        }
      }
    }
    return placed;
  }

  /** Records that a task has started. */
  public void markRunning() {
    if (state == WorkloadState.QUEUED) {
      state = WorkloadState.RUNNING;
    }
  }

  /** Cancels the job unless its state is terminal. */
  public void cancel() {
    if (!state.isFinal()) {
      state = WorkloadState.CANCELLED;
    }
  }

  /** Restores the state of the job from the ledger. */
  public void restore(WorkloadState stored) {
    state = stored;
  }

  /**
   * Records the end of a task's latest run; has no effect if the task is not placed.
   *
   * @param task the task
   * @param reason why the run ended
   * @param checkpoint checkpoint at the end of the run; empty if there is none
   */
  public void recordRunEnd(TaskProgress task, TerminationReason reason, String checkpoint) {
    if (task.phase() != TaskProgress.Phase.PLACED) {
      return;
    }
    final String worker = task.workerId();
    StepProgress step = steps(task.id().occurrence()).get(task.id().step());
    task.saveCheckpoint(checkpoint);
    boolean repeats = task.spec().longRunning();
    if (reason == TerminationReason.DONE && !repeats) {
      recordSuccess(step, task);
      return;
    }
    task.clearPlacement();
    if (reason == TerminationReason.FAILED && worker != null) {
      task.recordFailure(worker);
      step.recordGangFailure(task.run());
      int failures = step.spec().gang() ? step.failedGangRuns() : task.failures();
      if (!repeats && failures >= submission.policy().maxAttempts() && !state.isFinal()) {
        state = WorkloadState.FAILED;
      }
    }
  }

  /**
   * Records that a worker crashed while a run was starting there. The job fails when enough workers
   * in a row have crashed under the task, also if the task is long-running.
   *
   * @param task the task
   * @param run number of the run
   * @param evidence how strongly the crash speaks against the run
   * @param tolerance decides whether the crashes in a row show that the task is the cause
   * @param nowNs current time, on a monotonic clock
   */
  public void recordWorkerCrash(
      TaskProgress task, int run, CrashEvidence evidence, CrashTolerance tolerance, long nowNs) {
    if (task.phase() == TaskProgress.Phase.DONE) {
      return;
    }
    task.recordWorkerCrash(run, evidence);
    if (evidence.weight() > 0 && tolerance.isExhausted(task, nowNs) && !state.isFinal()) {
      state = WorkloadState.FAILED;
    }
  }

  private void recordSuccess(StepProgress step, TaskProgress task) {
    if (step.spec().gang()) {
      // The members of a gang succeed together, so one report applies to all of them.
      step.tasks().forEach(TaskProgress::markSucceeded);
    } else {
      task.markSucceeded();
    }
    if (!state.isFinal() && allDone()) {
      state = WorkloadState.COMPLETED;
    }
  }

  private boolean allDone() {
    if (occurrences.size() < submission.spec().occurrences()) {
      return false;
    }
    return occurrences.values().stream()
        .allMatch(steps -> steps.stream().allMatch(StepProgress::isDone));
  }
}
