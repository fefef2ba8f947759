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

/** What a coordinator knows of one job. Guarded by the lock of its cell. */
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
  private boolean maybeClaimed;
  private final CompletableFuture<Void> acceptance = new CompletableFuture<>();
  private boolean queued;
  private boolean wanted;
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

  void cancel() {
    cancelled = true;
  }

  boolean ended() {
    return ended;
  }

  /**
   * Tells whether the job has ended and callers may be told so for certain. That a job was not run
   * is certain only once the log holds it, or the next coordinator could start it after all.
   */
  boolean recorded() {
    return ended && (recorded || state() != JobState.NOT_RUN);
  }

  void record() {
    recorded = true;
  }

  /** Completes once the log holds that the job was taken on, or fails if it can't be recorded. */
  CompletableFuture<Void> acceptance() {
    return acceptance;
  }

  /** Tells whether a claim of its key may stand in the log without its having been seen there. */
  boolean maybeClaimed() {
    return maybeClaimed;
  }

  void maybeClaim() {
    maybeClaimed = true;
  }

  long endedMs() {
    return endedMs;
  }

  void end(long nowMs) {
    ended = true;
    endedMs = nowMs;
  }

  /**
   * Tells whether somebody asked for the job in this term, or the log says that it is open. A job
   * that is known from the tasks on workers alone may have ended long ago.
   */
  boolean wanted() {
    return wanted;
  }

  void want() {
    wanted = true;
  }

  /** Tells whether the scheduler has been given the job's tasks. */
  boolean queued() {
    return queued;
  }

  void queued(boolean given) {
    queued = given;
  }

  /** Tells whether a worker that could not be asked may have run the job in an earlier term. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  void suspectRun() {
    mayHaveRun = true;
  }

  void await(CompletableFuture<JobAnswer> waiter) {
    waiters.add(waiter);
  }

  List<CompletableFuture<JobAnswer>> takeWaiters() {
    List<CompletableFuture<JobAnswer>> taken = List.copyOf(waiters);
    waiters.clear();
    return taken;
  }

  boolean all(JobTask.Phase phase) {
    return tasks.stream().allMatch(task -> task.phase() == phase);
  }

  boolean any(JobTask.Phase phase) {
    return tasks.stream().anyMatch(task -> task.phase() == phase);
  }

  boolean allEnded() {
    return tasks.stream().allMatch(task -> task.phase().isEnded());
  }

  JobState state() {
    if (any(JobTask.Phase.IN_DOUBT)) {
      return JobState.IN_DOUBT;
    }
    if (!allEnded()) {
      boolean started = tasks.stream().anyMatch(task -> task.status().attempts() > 0);
      return started ? JobState.RUNNING : JobState.ACCEPTED;
    }
    if (all(JobTask.Phase.SUCCEEDED)) {
      return JobState.DONE;
    }
    return all(JobTask.Phase.NOT_RUN) ? JobState.NOT_RUN : JobState.FAILED;
  }

  JobAnswer answer() {
    List<TaskStatus> statuses = tasks.stream().map(JobTask::status).toList();
    if (ended && !recorded()) {
      Reason pending =
          new Reason(ReasonType.LOG_UNAVAILABLE, "That it was not run is still to be recorded.");
      return new JobAnswer(
          spec.request(), jobId, JobState.IN_DOUBT, pending, RETRY_AFTER_MS, statuses);
    }
    return finalAnswer(statuses);
  }

  /** Returns the answer for the record in the log. */
  JobAnswer finalAnswer() {
    return finalAnswer(tasks.stream().map(JobTask::status).toList());
  }

  private JobAnswer finalAnswer(List<TaskStatus> statuses) {
    return new JobAnswer(spec.request(), jobId, state(), reason, 0, statuses);
  }

  /** Names the attempt that comes after the last one at a task. */
  TaskId nextAttempt(JobTask task) {
    TaskId last = task.attempt();
    return new TaskId(jobId, task.index(), last == null ? 1 : last.attempt() + 1);
  }

  boolean isService() {
    return spec.kind() == JobKind.SERVICE;
  }
}
