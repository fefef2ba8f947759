package org.hickorymoor.domain.workload;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One task and its latest run. Not thread-safe. */
public final class TaskProgress {

  /** Placement state of a task. */
  public enum Phase {
    /** Not placed. */
    IDLE,
    /** Placed on a worker; the run may be starting, running or stopping. */
    PLACED,
    /** Succeeded; will not run again. */
    DONE
  }

  private final TaskId id;
  private final StepSpec spec;
  private final Set<String> failedOn = new HashSet<>();
  private Phase phase = Phase.IDLE;
  private int run;
  private int failures;
  private int suspectedCrashes;
  private int confirmedCrashes;
  private int crashWeight;
  private int lastSurvivedRun;
  private int lastCrashedRun;
  private String checkpoint = "";
  private @Nullable String workerId;

  TaskProgress(TaskId id, StepSpec spec) {
    this.id = id;
    this.spec = spec;
  }

  /** Returns the ID of the task. */
  public TaskId id() {
    return id;
  }

  /** Returns the specification of the step that the task belongs to. */
  public StepSpec spec() {
    return spec;
  }

  /** Returns the placement state of the task. */
  public Phase phase() {
    return phase;
  }

  /** Returns the number of the latest run; 0 before the first run. */
  public int run() {
    return run;
  }

  /** Returns the number of failed runs. */
  public int failures() {
    return failures;
  }

  /**
   * Returns how many workers in a row have crashed after the start of the task was sent to them; 0
   * once a worker has survived the start.
   */
  public int suspectedCrashes() {
    return suspectedCrashes;
  }

  /** Returns in how many of the suspected crashes the task was certainly on the worker. */
  public int confirmedCrashes() {
    return confirmedCrashes;
  }

  /** Returns the weight of the evidence of the suspected crashes. */
  public int crashWeight() {
    return crashWeight;
  }

  /** Returns the latest checkpoint; empty if there is none. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns the worker that the task is placed on, or null if it is not placed. */
  public @Nullable String workerId() {
    return workerId;
  }

  /** Returns whether a run of the task has failed on the given worker. */
  public boolean hasFailedOn(String worker) {
    return failedOn.contains(worker);
  }

  /** Returns whether the task has ever been placed. */
  public boolean hasBeenPlaced() {
    return run > 0;
  }

  /**
   * Records the placement of the next run.
   *
   * @param worker ID of the worker
   * @param nextRun number of the run; higher than that of any previous run
   */
  public void place(String worker, int nextRun) {
    if (phase != Phase.IDLE || nextRun <= run) {
      throw new IllegalStateException(id + " is " + phase + " at run " + run);
    }
    phase = Phase.PLACED;
    workerId = worker;
    run = nextRun;
  }

  /** Stores a newer checkpoint; an empty one has no effect. */
  public void saveCheckpoint(String newer) {
    if (!newer.isEmpty()) {
      checkpoint = newer;
    }
  }

  /** Makes a placed task idle again, so that it can be placed on another worker. */
  public void clearPlacement() {
    if (phase == Phase.PLACED) {
      phase = Phase.IDLE;
      workerId = null;
    }
  }

  /** Records a failed run on the given worker. */
  public void recordFailure(String worker) {
    failures++;
    failedOn.add(worker);
  }

  /**
   * Records that a run's worker crashed while the run was starting.
   *
   * @param crashedRun number of the run
   * @param evidence how strongly the crash speaks against the run
   */
  void recordWorkerCrash(int crashedRun, CrashEvidence evidence) {
    if (crashedRun > lastSurvivedRun && crashedRun > lastCrashedRun) {
      lastCrashedRun = crashedRun;
      suspectedCrashes++;
      confirmedCrashes += evidence.isConfirmed() ? 1 : 0;
      crashWeight += evidence.weight();
    }
  }

  /** Records that a run's worker has survived the start of the run. */
  public void recordSurvivedStart(int survivedRun) {
    lastSurvivedRun = Math.max(lastSurvivedRun, survivedRun);
    suspectedCrashes = 0;
    confirmedCrashes = 0;
    crashWeight = 0;
  }

  /** Restores the crashes in a row from the ledger. */
  public void restoreCrashes(int suspected, int confirmed, int weight) {
    suspectedCrashes = suspected;
    confirmedCrashes = confirmed;
    crashWeight = weight;
  }

  /** Marks the task as succeeded. */
  public void markSucceeded() {
    phase = Phase.DONE;
    workerId = null;
  }

  /** Restores the state of the task from the ledger. */
  public void restore(
      Phase storedPhase, int storedRun, int storedFailures, String saved, @Nullable String worker) {
    phase = storedPhase;
    run = storedRun;
    failures = storedFailures;
    checkpoint = saved;
    workerId = worker;
  }
}
