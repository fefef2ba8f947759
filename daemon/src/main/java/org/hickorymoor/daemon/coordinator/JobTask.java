package org.hickorymoor.daemon.coordinator;

import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.job.TaskStatus;
import org.jspecify.annotations.Nullable;

/** What a coordinator knows of one task. Guarded by the lock of its cell. */
final class JobTask {

  /** Where the task stands. */
  enum Phase {
    /** Not started, or to be started again. */
    WAITING(JobState.ACCEPTED),

    /** Its start is being recorded; nothing was sent. */
    RECORDING(JobState.ACCEPTED),

    /** Its start was sent and not answered. */
    STARTING(JobState.RUNNING),

    /** No answer came to its start; the worker's list will tell. */
    START_UNANSWERED(JobState.RUNNING),

    /** It runs. */
    RUNNING(JobState.RUNNING),

    /** It succeeded. */
    SUCCEEDED(JobState.DONE),

    /** It failed for good. */
    FAILED(JobState.FAILED),

    /** It never ran and never will. */
    NOT_RUN(JobState.NOT_RUN),

    /** Nobody knows at present. */
    IN_DOUBT(JobState.IN_DOUBT);

    private final JobState state;

    Phase(JobState state) {
      this.state = state;
    }

    boolean isEnded() {
      return state.isFinal();
    }

    /** Tells whether the worker may hold the task. */
    boolean mayRun() {
      return this == STARTING || this == START_UNANSWERED || this == RUNNING;
    }
  }

  private final int index;
  private Phase phase = Phase.WAITING;
  private @Nullable TaskId attempt;
  private @Nullable String workerId;
  private @Nullable String workerIncarnation;
  private long startLimitMs;
  private int exitCode;
  private String output = "";
  private boolean stopping;
  private String workerTaskId = "";
  private long confirmedMs;
  private @Nullable String checkpoint;

  JobTask(int index) {
    this.index = index;
  }

  int index() {
    return index;
  }

  Phase phase() {
    return phase;
  }

  void phase(Phase newPhase) {
    phase = newPhase;
  }

  @Nullable TaskId attempt() {
    return attempt;
  }

  @Nullable String workerId() {
    return workerId;
  }

  @Nullable String workerIncarnation() {
    return workerIncarnation;
  }

  /** Returns the worker time after which an unanswered start can't take effect any more. */
  long startLimitMs() {
    return startLimitMs;
  }

  void startLimitMs(long limitMs) {
    startLimitMs = limitMs;
  }

  boolean stopping() {
    return stopping;
  }

  void stopping(boolean asked) {
    stopping = asked;
  }

  /** Returns the id that the worker knows the attempt by. */
  String workerTaskId() {
    return workerTaskId;
  }

  /** Returns the own time at which the worker was first known to run the attempt. */
  long confirmedMs() {
    return confirmedMs;
  }

  void running(long nowMs) {
    phase = Phase.RUNNING;
    confirmedMs = nowMs;
  }

  @Nullable String checkpoint() {
    return checkpoint;
  }

  void checkpoint(@Nullable String token) {
    checkpoint = token;
  }

  void given(
      TaskId newAttempt,
      String newWorkerTaskId,
      String toWorkerId,
      @Nullable String incarnation,
      Phase newPhase) {
    attempt = newAttempt;
    workerTaskId = newWorkerTaskId;
    workerId = toWorkerId;
    workerIncarnation = incarnation;
    phase = newPhase;
    stopping = false;
    confirmedMs = 0;
  }

  void result(int newExitCode, String newOutput) {
    exitCode = newExitCode;
    output = newOutput;
  }

  boolean isAttempt(TaskId id) {
    return id.equals(attempt);
  }

  TaskStatus status() {
    int attempts = attempt == null ? 0 : attempt.attempt();
    return new TaskStatus(index, phase.state, workerId, attempts, exitCode, output);
  }
}
