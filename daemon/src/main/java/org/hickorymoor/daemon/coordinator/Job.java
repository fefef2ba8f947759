package org.hickorymoor.daemon.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.job.TaskStatus;

/** A coordinator's state of one job. Guarded by the cell's lock. */
final class Job {

  private static final long RETRY_AFTER_MS = 1_000;

  private final String jobId;
  private final JobSpec spec;
  private final long acceptedMs;
  private final List<JobTask> tasks;
  private final List<CompletableFuture<JobAnswer>> waiters = new ArrayList<>();
  private Reason reason = Reason.NONE;
  private boolean cancelled;
  private boolean ended;
  private boolean recorded;
  private boolean claimUncertain;
  private final CompletableFuture<Void> acceptance = new CompletableFuture<>();
  private boolean queued;
  private boolean confirmedOpen;
  private boolean mayHaveRun;
  private long endedMs;

  Job(String jobId, JobSpec spec, long acceptedMs) {
    this.jobId = jobId;
    this.spec = spec;
    this.acceptedMs = acceptedMs;
    this.tasks = IntStream.range(0, spec.taskCount()).mapToObj(JobTask::new).toList();
  }

  String jobId() {
    return jobId;
  }

  JobSpec spec() {
    return spec;
  }

  long acceptedMs() {
    return acceptedMs;
  }

  List<JobTask> tasks() {
    return tasks;
  }

  Reason reason() {
    return reason;
  }

  void reason(Reason newReason) {
    reason = newReason;
  }

  boolean cancelled() {
    return cancelled;
  }

  void markCancelled() {
    cancelled = true;
  }

  boolean ended() {
    return ended;
  }

  /**
   * Returns whether the job has ended and its final state may be reported to callers. {@code
   * NOT_RUN} is reported only once it is in the log; until then a later coordinator could still
   * start the job.
   */
  boolean endConfirmed() {
    return ended && (recorded || state() != JobState.NOT_RUN);
  }

  void markRecorded() {
    recorded = true;
  }

  /** Completes once the job's acceptance is in the log, or fails if it can't be recorded. */
  CompletableFuture<Void> acceptance() {
    return acceptance;
  }

  /** Returns whether the log may contain a claim of the job's key that was not confirmed. */
  boolean claimUncertain() {
    return claimUncertain;
  }

  void markClaimUncertain() {
    claimUncertain = true;
  }

  long endedMs() {
    return endedMs;
  }

  void markEnded(long nowMs) {
    ended = true;
    endedMs = nowMs;
  }

  /**
   * Returns whether the job is known to be open: it was requested in this term, or the log shows it
   * as open. A job known only from tasks on workers may have ended long ago.
   */
  boolean confirmedOpen() {
    return confirmedOpen;
  }

  void confirmOpen() {
    confirmedOpen = true;
  }

  /** Returns whether the job's tasks have been submitted to the scheduler. */
  boolean queued() {
    return queued;
  }

  void queued(boolean given) {
    queued = given;
  }

  /** Returns whether an unreachable worker may have run the job in an earlier term. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  void markMayHaveRun() {
    mayHaveRun = true;
  }

  void addWaiter(CompletableFuture<JobAnswer> waiter) {
    waiters.add(waiter);
  }

  List<CompletableFuture<JobAnswer>> drainWaiters() {
    List<CompletableFuture<JobAnswer>> taken = List.copyOf(waiters);
    waiters.clear();
    return taken;
  }

  boolean allInPhase(JobTask.Phase phase) {
    return tasks.stream().allMatch(task -> task.phase() == phase);
  }

  boolean anyInPhase(JobTask.Phase phase) {
    return tasks.stream().anyMatch(task -> task.phase() == phase);
  }

  boolean allEnded() {
    return tasks.stream().allMatch(task -> task.phase().isEnded());
  }

  JobState state() {
    if (anyInPhase(JobTask.Phase.IN_DOUBT)) {
      return JobState.IN_DOUBT;
    }
    if (!allEnded()) {
      boolean started = tasks.stream().anyMatch(task -> task.status().attempts() > 0);
      return started ? JobState.RUNNING : JobState.ACCEPTED;
    }
    if (allInPhase(JobTask.Phase.SUCCEEDED)) {
      return JobState.DONE;
    }
    return allInPhase(JobTask.Phase.NOT_RUN) ? JobState.NOT_RUN : JobState.FAILED;
  }

  JobAnswer answer() {
    List<TaskStatus> statuses = tasks.stream().map(JobTask::status).toList();
    if (ended && !endConfirmed()) {
      Reason pending =
          new Reason(
              ReasonType.LOG_UNAVAILABLE,
              "The job was not run, but this is not yet recorded in the log.");
      return new JobAnswer(
          spec.request(), jobId, JobState.IN_DOUBT, pending, RETRY_AFTER_MS, statuses);
    }
    return finalAnswer(statuses);
  }

  /** Returns the final status for the log, even if it may not yet be reported to callers. */
  JobAnswer finalAnswer() {
    return finalAnswer(tasks.stream().map(JobTask::status).toList());
  }

  private JobAnswer finalAnswer(List<TaskStatus> statuses) {
    return new JobAnswer(spec.request(), jobId, state(), reason, 0, statuses);
  }

  /** Returns the id of the next attempt at a task. */
  TaskId nextAttempt(JobTask task) {
    TaskId last = task.attempt();
    return new TaskId(jobId, task.index(), last == null ? 1 : last.attempt() + 1);
  }

  boolean isService() {
    return spec.kind() == JobKind.SERVICE;
  }
}
