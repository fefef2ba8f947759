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
import org.hickorymoor.protocol.platform.EndOutcome;
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.SyncReply;

/**
 * Carries decisions out on workers and follows what becomes of them.
 *
 * <p>Every method that is not marked otherwise is called with the cell's lock held; calls that go
 * out are collected and run by the cell without it.
 */
final class TaskRunner {

  private final CellState state;
  private final TaskStopper stopper;
  private final TaskStarter starter;
  private final WorkerLists lists;

  TaskRunner(CellState state, String termTag) {
    this.state = state;
    this.stopper = new TaskStopper(state);
    this.lists = new WorkerLists(state, this);
    this.starter = new TaskStarter(state, this, stopper, lists, termTag);
  }

  void carryOut(Decision decision) {
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

  /** Takes an attempt back that certainly never took effect and never will. */
  void notStarted(Job job, JobTask task, TaskId attempt) {
    if (!task.isAttempt(attempt) || task.phase().isEnded()) {
      return;
    }
    state.unplace(task);
    task.phase(Phase.WAITING);
    if (job.cancelled()) {
      task.phase(attempt.attempt() == 1 ? neverStarted(job) : Phase.FAILED);
    }
    state.scheduler().taskEnded(attempt, new TaskEnd(Outcome.NOT_STARTED, 0), state.nowMs());
    if (!job.cancelled()) {
      breakUp(job);
    }
    state.completeIfEnded(job);
  }

  /** Stops the other tasks of an all-at-once job one of whose tasks is no longer running. */
  private void breakUp(Job job) {
    if (job.spec().kind() != JobKind.ALL_AT_ONCE || !job.spec().repeatable()) {
      return;
    }
    job.tasks().stream().filter(task -> task.phase().mayRun()).forEach(stopper::stop);
  }

  private void giveUp(Decision.GiveUp giveUp) {
    Job job = state.jobs().byId(giveUp.jobId());
    if (job != null && !job.ended()) {
      cancel(job, giveUp.reason().type(), giveUp.reason().message());
    }
  }

  /** Ends a job: what waits is not run, what runs is stopped. */
  void cancel(Job job, ReasonType type, String message) {
    if (job.ended() || job.cancelled()) {
      return;
    }
    job.cancel();
    job.reason(new Reason(type, message));
    state.scheduler().cancel(job.jobId());
    for (JobTask task : job.tasks()) {
      if (task.phase() == Phase.WAITING) {
        task.phase(task.attempt() == null ? neverStarted(job) : Phase.FAILED);
      } else if (task.phase().mayRun()) {
        stopper.stop(task);
      }
    }
    state.completeIfEnded(job);
  }

  /** Returns where a task stands that was not started by this coordinator and is not to be. */
  private Phase neverStarted(Job job) {
    if (!state.settled()) {
      return Phase.IN_DOUBT;
    }
    return job.mayHaveRun() ? Phase.FAILED : Phase.NOT_RUN;
  }

  /** Ends what could not be ended before it was known what an earlier coordinator started. */
  void settle(Job job) {
    if (job.ended()) {
      return;
    }
    for (JobTask task : job.tasks()) {
      boolean cancelled = job.cancelled() && !job.maybeClaimed();
      if (cancelled && task.phase() == Phase.IN_DOUBT && task.attempt() == null) {
        task.phase(neverStarted(job));
      } else if (state.restored() && !job.wanted() && wasStoppedEarlier(task)) {
        task.phase(Phase.FAILED);
        job.reason(
            new Reason(
                ReasonType.CANCELLED,
                "An earlier coordinator stopped it, and the log does not hold the job."));
      }
    }
    state.completeIfEnded(job);
  }

  private static boolean wasStoppedEarlier(JobTask task) {
    return task.phase() == Phase.WAITING && task.attempt() != null && task.stopping();
  }

  void synced(WorkerAgent agent, long sentMs, SyncReply reply) {
    lists.take(agent, sentMs, reply);
  }

  /** Takes in the end of an attempt that the worker lists. */
  void ended(Job job, JobTask task, WorkerAgent agent, EndedTask ended) {
    TaskId attempt = task.attempt();
    if (attempt == null || task.phase().isEnded()) {
      agent.acknowledge(ended.taskId());
      return;
    }
    state.unplace(task);
    task.result(ended.exitCode(), ended.output());
    task.phase(phaseAfter(job, ended.outcome()));
    explainEnd(job, task, ended.outcome());
    state
        .scheduler()
        .taskEnded(attempt, new TaskEnd(outcome(ended.outcome()), ended.ranMs()), state.nowMs());
    if (task.phase() == Phase.WAITING) {
      task.stopping(ended.outcome() == EndOutcome.STOPPED);
      breakUp(job);
      if (state.settled()) {
        settle(job);
      }
    }
    JobState after = task.status().state();
    state.later(() -> recordEnd(job, attempt, after, agent, ended));
    state.completeIfEnded(job);
  }

  /** Called without the lock. A job that must not be repeated keeps its end on the worker. */
  private void recordEnd(
      Job job, TaskId attempt, JobState after, WorkerAgent agent, EndedTask ended) {
    state
        .context()
        .journal()
        .ended(attempt, after, agent.workerId(), ended)
        .whenComplete(
            (done, failure) -> {
              if (failure == null || job.spec().repeatable()) {
                agent.acknowledge(ended.taskId());
              }
            });
  }

  private static Phase phaseAfter(Job job, EndOutcome outcome) {
    if (job.cancelled()) {
      return outcome == EndOutcome.SUCCEEDED ? Phase.SUCCEEDED : Phase.FAILED;
    }
    if (job.isService()) {
      return Phase.WAITING;
    }
    if (outcome == EndOutcome.SUCCEEDED) {
      return Phase.SUCCEEDED;
    }
    return job.spec().repeatable() ? Phase.WAITING : Phase.FAILED;
  }

  private static void explainEnd(Job job, JobTask task, EndOutcome outcome) {
    if (task.phase() == Phase.FAILED && !job.cancelled()) {
      ReasonType type =
          outcome == EndOutcome.LAPSED ? ReasonType.LEASE_LAPSED : ReasonType.TASK_FAILED;
      job.reason(new Reason(type, "Task " + task.index() + " ended " + outcome + "."));
    }
    if (task.phase() == Phase.SUCCEEDED && job.reason().type() == ReasonType.WORKER_UNREACHABLE) {
      job.reason(Reason.NONE);
    }
  }

  private static Outcome outcome(EndOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> Outcome.SUCCEEDED;
      case FAILED -> Outcome.FAILED;
      case STOPPED, LAPSED -> Outcome.STOPPED;
    };
  }

  /** Takes in that an attempt certainly no longer runs, without word of how it ended. */
  void vanished(Job job, JobTask task, ReasonType type, String message) {
    TaskId attempt = task.attempt();
    if (attempt == null || task.phase().isEnded() || task.phase() == Phase.IN_DOUBT) {
      return;
    }
    state.scheduler().taskEnded(attempt, new TaskEnd(Outcome.STOPPED, 0), state.nowMs());
    if (!job.spec().repeatable()) {
      if (type == ReasonType.WORKER_RESTARTED) {
        state.unplace(task);
      }
      task.phase(Phase.IN_DOUBT);
      job.reason(new Reason(type, message));
      state.notifyWaiters(job);
      return;
    }
    state.unplace(task);
    task.phase(job.cancelled() ? Phase.FAILED : Phase.WAITING);
    if (!job.cancelled()) {
      breakUp(job);
    }
    state.completeIfEnded(job);
  }

  /** Takes in that a task that was in doubt runs. */
  void cleared(Job job, JobTask task, String workerId) {
    task.running(state.nowMs());
    job.reason(Reason.NONE);
    TaskId attempt = task.attempt();
    if (attempt != null) {
      state.scheduler().taskRecovered(attempt, job.spec(), workerId, state.nowMs());
    }
  }

  /** Takes in that the worker of a task in doubt has lost its memory of it. */
  void lostForGood(Job job, JobTask task) {
    state.unplace(task);
    job.reason(
        new Reason(
            ReasonType.WORKER_RESTARTED,
            "Worker " + task.workerId() + " restarted and can't tell what became of it."));
  }

  /** Queues a task again whose only start certainly never took effect, after it was in doubt. */
  void reopen(Job job, JobTask task) {
    state.unplace(task);
    task.phase(Phase.WAITING);
    job.reason(Reason.NONE);
    TaskId attempt = job.nextAttempt(task);
    state.scheduler().submit(job.jobId(), job.spec(), List.of(attempt), state.nowMs());
  }

  /** Stops the services on a worker that is leaving; once stopped, they start elsewhere. */
  void moveServices(String workerId) {
    state.jobs().on(workerId).values().stream()
        .filter(entry -> entry.job().isService() && entry.task().phase() == Phase.RUNNING)
        .forEach(entry -> stopper.stop(entry.task()));
  }

  /** Looks for tasks that have lapsed with their workers out of reach, and for missed deadlines. */
  void expire(long nowMs) {
    for (String workerId : state.jobs().workersWithTasks()) {
      WorkerAgent agent = state.context().agents().apply(workerId);
      long lastMs = agent == null ? state.startedMs() : agent.lastReplyMs();
      if (nowMs > Math.max(lastMs, state.startedMs()) + state.context().settings().lapseMs()) {
        lists.lapse(workerId);
      }
    }
    List<Job> late = state.jobs().all().stream().filter(job -> missedStart(job, nowMs)).toList();
    for (Job job : late) {
      cancel(job, ReasonType.START_DEADLINE_PASSED, "The job did not start within its time.");
    }
    for (Job job : state.jobs().all()) {
      if (job.cancelled() && !job.ended()) {
        job.tasks().stream().filter(task -> task.phase().mayRun()).forEach(stopper::stop);
      }
    }
  }

  private static boolean missedStart(Job job, long nowMs) {
    long withinMs = job.spec().startWithinMs();
    return withinMs > 0
        && !job.ended()
        && nowMs > job.acceptedMs() + withinMs
        && job.tasks().stream().allMatch(task -> task.attempt() == null);
  }

  /** Asks for a running task to be stopped; its end is told by the worker's list. */
  void stop(JobTask task) {
    stopper.stop(task);
  }
}
