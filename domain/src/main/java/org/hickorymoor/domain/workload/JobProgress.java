package org.hickorymoor.domain.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** A job and how far its tasks are. Not safe for use by several threads. */
public final class JobProgress {

  private final Submission submission;
  private final SortedMap<Integer, List<StepProgress>> occurrences = new TreeMap<>();
  private WorkloadState state = WorkloadState.QUEUED;

  /**
   * Makes a job none of whose tasks has been placed.
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

  /** Returns how far the job is. */
  public WorkloadState state() {
    return state;
  }

  /** Returns the occurrences that have begun, by number. */
  public SortedMap<Integer, List<StepProgress>> occurrences() {
    return occurrences;
  }

  /**
   * Begins the occurrences that are due.
   *
   * @param nowMs Unix time
   */
  public void beginDue(long nowMs) {
    WorkloadSpec spec = submission.spec();
    int begun = occurrences.isEmpty() ? 0 : occurrences.lastKey() + 1;
    while (begun < spec.occurrences() && spec.dueMs(begun) <= nowMs) {
      steps(begun);
      begun++;
    }
  }

  /** Returns the steps of an occurrence, which begins if it hasn't yet. */
  public List<StepProgress> steps(int occurrence) {
    return occurrences.computeIfAbsent(
        occurrence,
        number -> {
          List<StepProgress> steps = new ArrayList<>();
          List<StepSpec> specs = submission.spec().steps();
          for (int step = 0; step < specs.size(); step++) {
            steps.add(new StepProgress(submission.jobId(), number, step, specs.get(step)));
          }
          return steps;
        });
  }

  /** Returns a task, or null if the job has none of that name. */
  public @Nullable TaskSlot slot(TaskId id) {
    List<StepProgress> steps = occurrences.get(id.occurrence());
    if (steps == null || id.step() < 0 || id.step() >= steps.size()) {
      return null;
    }
    List<TaskSlot> slots = steps.get(id.step()).slots();
    return id.index() < 0 || id.index() >= slots.size() ? null : slots.get(id.index());
  }

  /** Returns the steps with idle tasks whose dependencies have all succeeded. */
  public List<StepProgress> readySteps() {
    List<StepProgress> ready = new ArrayList<>();
    if (state.isFinal()) {
      return ready;
    }
    for (List<StepProgress> steps : occurrences.values()) {
      for (StepProgress step : steps) {
        if (step.count(TaskSlot.Phase.IDLE) > 0 && isUnblocked(step, steps)) {
          ready.add(step);
        }
      }
    }
    return ready;
  }

  private static boolean isUnblocked(StepProgress step, List<StepProgress> steps) {
    for (int earlier : step.spec().after()) {
      if (!steps.get(earlier).isDone()) {
        return false;
      }
    }
    // A gang starts again only after every member of its previous run is gone.
    return !step.spec().gang() || step.count(TaskSlot.Phase.PLACED) == 0;
  }

  /** Returns the tasks that are placed. */
  public List<TaskSlot> placed() {
    List<TaskSlot> placed = new ArrayList<>();
    for (List<StepProgress> steps : occurrences.values()) {
      for (StepProgress step : steps) {
        for (TaskSlot slot : step.slots()) {
          if (slot.phase() == TaskSlot.Phase.PLACED) {
            placed.add(slot);
          }
        }
      }
    }
    return placed;
  }

  /** Marks that a task has started. */
  public void markRunning() {
    if (state == WorkloadState.QUEUED) {
      state = WorkloadState.RUNNING;
    }
  }

  /** Cancels the job unless it has ended. */
  public void cancel() {
    if (!state.isFinal()) {
      state = WorkloadState.CANCELLED;
    }
  }

  /** Puts a stored state back. */
  public void restore(WorkloadState stored) {
    state = stored;
  }

  /**
   * Takes note of the end of a task's latest run.
   *
   * @param slot the task
   * @param how how the run ended
   * @param saved checkpoint at its end; empty for none
   */
  public void end(TaskSlot slot, EndKind how, String saved) {
    if (slot.phase() != TaskSlot.Phase.PLACED) {
      return;
    }
    final String worker = slot.workerId();
    StepProgress step = steps(slot.id().occurrence()).get(slot.id().step());
    slot.save(saved);
    boolean repeats = slot.spec().longRunning();
    if (how == EndKind.DONE && !repeats) {
      succeed(step, slot);
      return;
    }
    slot.unplace();
    if (how == EndKind.FAILED && worker != null) {
      slot.countFailure(worker);
      step.countGangFailure(slot.run());
      int failures = step.spec().gang() ? step.failedGangRuns() : slot.failures();
      if (!repeats && failures >= submission.policy().maxAttempts() && !state.isFinal()) {
        state = WorkloadState.FAILED;
      }
    }
  }

  private void succeed(StepProgress step, TaskSlot slot) {
    if (step.spec().gang()) {
      // Members of a gang succeed together, so one report stands for all.
      step.slots().forEach(TaskSlot::succeed);
    } else {
      slot.succeed();
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
