package org.hickorymoor.domain.workload;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One task and its latest run. Not safe for use by several threads. */
public final class TaskSlot {

  /** Where the task is. */
  public enum Phase {
    /** Not placed. */
    IDLE,
    /** Placed on a worker; its run may be starting, at work or being stopped. */
    PLACED,
    /** Succeeded; never started again. */
    DONE
  }

  private final TaskId id;
  private final StepSpec spec;
  private final Set<String> failedOn = new HashSet<>();
  private Phase phase = Phase.IDLE;
  private int run;
  private int failures;
  private String checkpoint = "";
  private @Nullable String workerId;

  TaskSlot(TaskId id, StepSpec spec) {
    this.id = id;
    this.spec = spec;
  }

  /** Returns the name of the task. */
  public TaskId id() {
    return id;
  }

  /** Returns the step that it belongs to. */
  public StepSpec spec() {
    return spec;
  }

  /** Returns where the task is. */
  public Phase phase() {
    return phase;
  }

  /** Returns the number of its latest run; 0 before the first. */
  public int run() {
    return run;
  }

  /** Returns how many of its runs have failed. */
  public int failures() {
    return failures;
  }

  /** Returns the newest checkpoint; empty if there is none. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns the worker of the latest run while the task is placed. */
  public @Nullable String workerId() {
    return workerId;
  }

  /** Returns whether a run of the task has failed on the worker. */
  public boolean hasFailedOn(String worker) {
    return failedOn.contains(worker);
  }

  /** Returns whether the task has ever been placed. */
  public boolean isTouched() {
    return run > 0;
  }

  /**
   * Places the next run.
   *
   * @param worker where it will run
   * @param nextRun number of the run; higher than any before
   */
  public void place(String worker, int nextRun) {
    if (phase != Phase.IDLE || nextRun <= run) {
      throw new IllegalStateException(id + " is " + phase + " at run " + run);
    }
    phase = Phase.PLACED;
    workerId = worker;
    run = nextRun;
  }

  /** Keeps a newer checkpoint; an empty one changes nothing. */
  public void save(String newer) {
    if (!newer.isEmpty()) {
      checkpoint = newer;
    }
  }

  /** Takes the task off its worker, to be placed again. */
  public void unplace() {
    if (phase == Phase.PLACED) {
      phase = Phase.IDLE;
      workerId = null;
    }
  }

  /** Counts a failed run. */
  public void countFailure(String worker) {
    failures++;
    failedOn.add(worker);
  }

  /** Marks the task as succeeded. */
  public void succeed() {
    phase = Phase.DONE;
    workerId = null;
  }

  /** Puts a stored task back. */
  public void restore(
      Phase storedPhase, int storedRun, int storedFailures, String saved, @Nullable String worker) {
    phase = storedPhase;
    run = storedRun;
    failures = storedFailures;
    checkpoint = saved;
    workerId = worker;
  }
}
