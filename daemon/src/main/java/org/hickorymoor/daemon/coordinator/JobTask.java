package org.hickorymoor.daemon.coordinator;

import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.job.TaskStatus;
import org.jspecify.annotations.Nullable;

/** A coordinator's state of one task. Guarded by the cell's lock. */
final class JobTask {

  /** The stage that a task has reached. */
  enum Phase {
    /** Not started, or waiting for another attempt. */
    WAITING(JobState.ACCEPTED),

    /** The placement is being recorded; no start command was sent. */
    RECORDING(JobState.ACCEPTED),

    /** The start command was sent and its reply is pending. */
    STARTING(JobState.RUNNING),

    /** The start command got no reply; the worker's next list shows whether the task runs. */
    START_UNANSWERED(JobState.RUNNING),

    /** The worker has confirmed that the task runs. */
    RUNNING(JobState.RUNNING),

    /** The last attempt succeeded. */
    SUCCEEDED(JobState.DONE),

    /** The task failed and will not be retried. */
    FAILED(JobState.FAILED),

    /** The task never ran and never will. */
    NOT_RUN(JobState.NOT_RUN),

    /** The outcome is unknown until the worker or the log can be read. */
    IN_DOUBT(JobState.IN_DOUBT);

    private final JobState state;

    Phase(JobState state) {
      this.state = state;
    }

    boolean isEnded() {
      return state.isFinal();
    }

    /** Returns whether the task may be running on its worker. */
    boolean mayBeRunning() {
      return this == STARTING || this == START_UNANSWERED || this == RUNNING;
    }
  }

  private final int index;
  private Phase phase = Phase.WAITING;
  private @Nullable TaskId attempt;
  private @Nullable String workerId;
  private @Nullable String workerIncarnation;
  private long startDeadlineMs;
  private int exitCode;
  private String output = "";
  private boolean stopping;
  private String workerTaskId = "";
  private long runningConfirmedMs;
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

  /** Returns the time on the worker's clock after which an unanswered start has no effect. */
  long startDeadlineMs() {
    return startDeadlineMs;
  }

  void startDeadlineMs(long deadlineMs) {
    startDeadlineMs = deadlineMs;
  }

  boolean stopping() {
    return stopping;
  }

  void stopping(boolean newStopping) {
    stopping = newStopping;
  }

  /** Returns the worker's task id of the attempt. */
  String workerTaskId() {
    return workerTaskId;
  }

  /** Returns the local time at which the attempt was first confirmed as running; 0 if never. */
  long runningConfirmedMs() {
    return runningConfirmedMs;
  }

  void markRunning(long nowMs) {
    phase = Phase.RUNNING;
    runningConfirmedMs = nowMs;
  }

  @Nullable String checkpoint() {
    return checkpoint;
  }

  void checkpoint(@Nullable String token) {
    checkpoint = token;
  }

  void assign(
      TaskId newAttempt,
      String newWorkerTaskId,
      String newWorkerId,
      @Nullable String incarnation,
      Phase newPhase) {
    attempt = newAttempt;
    workerTaskId = newWorkerTaskId;
    workerId = newWorkerId;
    workerIncarnation = incarnation;
    phase = newPhase;
    stopping = false;
    runningConfirmedMs = 0;
  }

  void setResult(int newExitCode, String newOutput) {
    exitCode = newExitCode;
    output = newOutput;
  }

  boolean isCurrentAttempt(TaskId id) {
    return id.equals(attempt);
  }

  TaskStatus status() {
    int attempts = attempt == null ? 0 : attempt.attempt();
    return new TaskStatus(index, phase.state, workerId, attempts, exitCode, output);
  }
}
