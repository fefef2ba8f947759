package org.hickorymoor.daemon.coordinator;

import java.util.List;
import org.hickorymoor.daemon.coordinator.JobTask.Phase;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.policy.Decision;
import org.hickorymoor.domain.policy.TaskEnd;
import org.hickorymoor.domain.policy.TaskEnd.Outcome;
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskOutcome;

/**
 * Executes scheduling decisions on workers and tracks the tasks until they end.
 *
 * <p>Methods are called with the cell's lock held unless noted otherwise; remote calls are deferred
 * until the cell has released it.
 */
final class TaskRunner {

  private final CellState state;
  private final TaskStopper stopper;
  private final TaskStarter starter;
  private final WorkerReconciler reconciler;

  TaskRunner(CellState state, String termTag) {
    this.state = state;
    this.stopper = new TaskStopper(state);
    this.reconciler = new WorkerReconciler(state, this);
    this.starter = new TaskStarter(state, this, stopper, reconciler, termTag);
  }

  void execute(Decision decision) {
    if (decision instanceof Decision.Start start) {
      starter.start(start.task(), start.workerId());
    } else if (decision instanceof Decision.Throttle throttle) {
      stopper.throttle(throttle);
    } else if (decision instanceof Decision.Preempt preempt) {
      stopper.preempt(preempt);
    } else if (decision instanceof Decision.GiveUp giveUp) {
      giveUp(giveUp);
    }
  }

  /** Handles an attempt whose start certainly has not taken effect and never will. */
  void notStarted(Job job, JobTask task, TaskId attempt) {
    if (!task.isCurrentAttempt(attempt) || task.phase().isEnded()) {
      return;
    }
    state.removePlacement(task);
    task.phase(Phase.WAITING);
    if (job.cancelled()) {
      task.phase(attempt.attempt() == 1 ? phaseIfNeverStarted(job) : Phase.FAILED);
    }
    state.scheduler().taskEnded(attempt, new TaskEnd(Outcome.NOT_STARTED, 0), state.nowMs());
    if (!job.cancelled()) {
      stopOtherTasks(job);
    }
    state.completeIfEnded(job);
  }

  /** Stops the other tasks of an all-at-once job after one task has stopped running. */
  private void stopOtherTasks(Job job) {
    if (job.spec().kind() != JobKind.ALL_AT_ONCE || !job.spec().repeatable()) {
      return;
    }
    job.tasks().stream().filter(task -> task.phase().mayBeRunning()).forEach(stopper::stop);
  }

  private void giveUp(Decision.GiveUp giveUp) {
    Job job = state.jobs().byId(giveUp.jobId());
    if (job != null && !job.ended()) {
      cancel(job, giveUp.reason().type(), giveUp.reason().message());
    }
  }

  /** Cancels a job: waiting tasks are not run and running tasks are stopped. */
  void cancel(Job job, ReasonType type, String message) {
    if (job.ended() || job.cancelled()) {
      return;
    }
    job.markCancelled();
    job.reason(new Reason(type, message));
    state.scheduler().cancel(job.jobId());
    for (JobTask task : job.tasks()) {
      if (task.phase() == Phase.WAITING) {
        task.phase(task.attempt() == null ? phaseIfNeverStarted(job) : Phase.FAILED);
      } else if (task.phase().mayBeRunning()) {
        stopper.stop(task);
      }
    }
    state.completeIfEnded(job);
  }

  /** Returns the phase of a cancelled task that this coordinator has not started. */
  private Phase phaseIfNeverStarted(Job job) {
    if (!state.reconciled()) {
      return Phase.IN_DOUBT;
    }
    return job.mayHaveRun() ? Phase.FAILED : Phase.NOT_RUN;
  }

  /** Ends tasks whose outcome depended on what earlier coordinators had started. */
  void resolvePending(Job job) {
    if (job.ended()) {
      return;
    }
    for (JobTask task : job.tasks()) {
      boolean cancelled = job.cancelled() && !job.claimUncertain();
      if (cancelled && task.phase() == Phase.IN_DOUBT && task.attempt() == null) {
        task.phase(phaseIfNeverStarted(job));
      } else if (state.restored() && !job.confirmedOpen() && wasStoppedEarlier(task)) {
        task.phase(Phase.FAILED);
        job.reason(
            new Reason(
                ReasonType.CANCELLED,
                "An earlier coordinator stopped the job, and the log does not contain it."));
      }
    }
    state.completeIfEnded(job);
  }

  private static boolean wasStoppedEarlier(JobTask task) {
    return task.phase() == Phase.WAITING && task.attempt() != null && task.stopping();
  }

  void reconcile(WorkerAgent agent, long sentMs, SyncReply reply) {
    reconciler.reconcile(agent, sentMs, reply);
  }

  /** Handles the end of an attempt that a worker reported. */
  void ended(Job job, JobTask task, WorkerAgent agent, EndedTask ended) {
    TaskId attempt = task.attempt();
    if (attempt == null || task.phase().isEnded()) {
      agent.acknowledge(ended.taskId());
      return;
    }
    state.removePlacement(task);
    task.setResult(ended.exitCode(), ended.output());
    task.phase(phaseAfter(job, ended.outcome()));
    updateReason(job, task, ended.outcome());
    state
        .scheduler()
        .taskEnded(attempt, new TaskEnd(outcome(ended.outcome()), ended.ranMs()), state.nowMs());
    if (task.phase() == Phase.WAITING) {
      task.stopping(ended.outcome() == TaskOutcome.STOPPED);
      stopOtherTasks(job);
      if (state.reconciled()) {
        resolvePending(job);
      }
    }
    JobState after = task.status().state();
    state.defer(() -> recordEnd(job, attempt, after, agent, ended));
    state.completeIfEnded(job);
  }

  /**
   * Records the end of an attempt. Until this succeeds, the end of a job that must run at most once
   * is not acknowledged, so that the worker keeps it. Called without the lock.
   */
  private void recordEnd(
      Job job, TaskId attempt, JobState after, WorkerAgent agent, EndedTask ended) {
    state
        .context()
        .journal()
        .recordEnded(attempt, after, agent.workerId(), ended)
        .whenComplete(
            (done, failure) -> {
              if (failure == null || job.spec().repeatable()) {
                agent.acknowledge(ended.taskId());
              }
            });
  }

  private static Phase phaseAfter(Job job, TaskOutcome outcome) {
    if (job.cancelled()) {
      return outcome == TaskOutcome.SUCCEEDED ? Phase.SUCCEEDED : Phase.FAILED;
    }
    if (job.isService()) {
      return Phase.WAITING;
    }
    if (outcome == TaskOutcome.SUCCEEDED) {
      return Phase.SUCCEEDED;
    }
    return job.spec().repeatable() ? Phase.WAITING : Phase.FAILED;
  }

  private static void updateReason(Job job, JobTask task, TaskOutcome outcome) {
    if (task.phase() == Phase.FAILED && !job.cancelled()) {
      ReasonType type =
          outcome == TaskOutcome.LAPSED ? ReasonType.LEASE_LAPSED : ReasonType.TASK_FAILED;
      job.reason(new Reason(type, "Task " + task.index() + " ended " + outcome + "."));
    }
    if (task.phase() == Phase.SUCCEEDED && job.reason().type() == ReasonType.WORKER_UNREACHABLE) {
      job.reason(Reason.NONE);
    }
  }

  private static Outcome outcome(TaskOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> Outcome.SUCCEEDED;
      case FAILED -> Outcome.FAILED;
      case STOPPED, LAPSED -> Outcome.STOPPED;
    };
  }

  /** Handles an attempt that certainly no longer runs and whose outcome is unknown. */
  void taskLost(Job job, JobTask task, ReasonType type, String message) {
    TaskId attempt = task.attempt();
    if (attempt == null || task.phase().isEnded() || task.phase() == Phase.IN_DOUBT) {
      return;
    }
    state.scheduler().taskEnded(attempt, new TaskEnd(Outcome.STOPPED, 0), state.nowMs());
    if (!job.spec().repeatable()) {
      if (type == ReasonType.WORKER_RESTARTED) {
        state.removePlacement(task);
      }
      task.phase(Phase.IN_DOUBT);
      job.reason(new Reason(type, message));
      state.notifyWaiters(job);
      return;
    }
    state.removePlacement(task);
    task.phase(job.cancelled() ? Phase.FAILED : Phase.WAITING);
    if (!job.cancelled()) {
      stopOtherTasks(job);
    }
    state.completeIfEnded(job);
  }

  /** Handles a task in doubt that a worker reported as running. */
  void foundRunning(Job job, JobTask task, String workerId) {
    task.markRunning(state.nowMs());
    job.reason(Reason.NONE);
    TaskId attempt = task.attempt();
    if (attempt != null) {
      state.scheduler().taskRecovered(attempt, job.spec(), workerId, state.nowMs());
    }
  }

  /** Handles a task in doubt whose worker has restarted and has no record of it. */
  void lostInRestart(Job job, JobTask task) {
    state.removePlacement(task);
    job.reason(
        new Reason(
            ReasonType.WORKER_RESTARTED,
            "Worker " + task.workerId() + " restarted and has no record of how the task ended."));
  }

  /** Requeues a task in doubt whose start certainly never took effect. */
  void requeue(Job job, JobTask task) {
    state.removePlacement(task);
    task.phase(Phase.WAITING);
    job.reason(Reason.NONE);
    TaskId attempt = job.nextAttempt(task);
    state.scheduler().submit(job.jobId(), job.spec(), List.of(attempt), state.nowMs());
  }

  /** Stops the services on a worker that is leaving; they are then restarted on other workers. */
  void stopServices(String workerId) {
    state.jobs().tasksOn(workerId).values().stream()
        .filter(entry -> entry.job().isService() && entry.task().phase() == Phase.RUNNING)
        .forEach(entry -> stopper.stop(entry.task()));
  }

  /** Expires tasks on unreachable workers, and cancels jobs that missed their start deadline. */
  void expire(long nowMs) {
    for (String workerId : state.jobs().workersWithTasks()) {
      WorkerAgent agent = state.context().agents().apply(workerId);
      long lastMs = agent == null ? state.startedMs() : agent.lastReplyMs();
      if (nowMs > Math.max(lastMs, state.startedMs()) + state.context().settings().taskExpiryMs()) {
        reconciler.expireTasks(workerId);
      }
    }
    List<Job> late =
        state.jobs().all().stream().filter(job -> missedStartDeadline(job, nowMs)).toList();
    for (Job job : late) {
      cancel(
          job,
          ReasonType.START_DEADLINE_PASSED,
          "The job did not start within the requested time.");
    }
    for (Job job : state.jobs().all()) {
      if (job.cancelled() && !job.ended()) {
        job.tasks().stream().filter(task -> task.phase().mayBeRunning()).forEach(stopper::stop);
      }
    }
  }

  private static boolean missedStartDeadline(Job job, long nowMs) {
    long withinMs = job.spec().startWithinMs();
    return withinMs > 0
        && !job.ended()
        && nowMs > job.acceptedMs() + withinMs
        && job.tasks().stream().allMatch(task -> task.attempt() == null);
  }

  /** Requests that a running task be stopped; the worker's list later reports its end. */
  void stop(JobTask task) {
    stopper.stop(task);
  }
}
