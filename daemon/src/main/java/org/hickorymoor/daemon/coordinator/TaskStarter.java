package org.hickorymoor.daemon.coordinator;

import java.util.Map;
import org.hickorymoor.daemon.coordinator.JobTask.Phase;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.policy.TaskEnd;
import org.hickorymoor.domain.policy.TaskEnd.Outcome;
import org.hickorymoor.protocol.platform.CommandOutcome;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.StartCommand;
import org.jspecify.annotations.Nullable;

/** Starts tasks on workers. Guarded by the cell's lock unless noted otherwise. */
final class TaskStarter {

  static final String JOB_LABEL = "job";
  static final String TASK_LABEL = "task";
  static final String RECORD_LABEL = "record";

  private final CellState state;
  private final TaskRunner runner;
  private final TaskStopper stopper;
  private final WorkerReconciler reconciler;
  private final String termTag;

  TaskStarter(
      CellState state,
      TaskRunner runner,
      TaskStopper stopper,
      WorkerReconciler reconciler,
      String termTag) {
    this.state = state;
    this.runner = runner;
    this.stopper = stopper;
    this.reconciler = reconciler;
    this.termTag = termTag;
  }

  void start(TaskId attempt, String workerId) {
    Job job = state.jobs().byId(attempt.jobId());
    WorkerAgent agent = state.context().agents().apply(workerId);
    if (job == null || job.ended() || job.cancelled() || agent == null) {
      state.scheduler().taskEnded(attempt, new TaskEnd(Outcome.NOT_STARTED, 0), state.nowMs());
      return;
    }
    JobTask task = job.tasks().get(attempt.index());
    String incarnation = reconciler.incarnation(workerId);
    task.assign(attempt, attempt + "~" + termTag, workerId, incarnation, Phase.RECORDING);
    state.jobs().addPlacement(workerId, task.workerTaskId(), job, task);
    if (job.spec().repeatable()) {
      state.defer(() -> send(job, task, attempt, agent));
    } else {
      state.defer(
          () ->
              state
                  .context()
                  .journal()
                  .recordPlaced(attempt, task.workerTaskId(), workerId, incarnation)
                  .whenComplete((done, failure) -> placed(job, task, attempt, agent, failure)));
    }
  }

  /** Called without the lock. */
  private void placed(
      Job job, JobTask task, TaskId attempt, WorkerAgent agent, @Nullable Throwable failure) {
    if (failure == null) {
      send(job, task, attempt, agent);
      return;
    }
    synchronized (state.lock()) {
      runner.notStarted(job, task, attempt);
    }
    state.dispatch();
  }

  /**
   * Sends a start command. Authority is checked immediately before the call. Called without the
   * lock.
   */
  private void send(Job job, JobTask task, TaskId attempt, WorkerAgent agent) {
    StartCommand command;
    synchronized (state.lock()) {
      if (!task.isCurrentAttempt(attempt) || job.cancelled() || !mayCommand(agent)) {
        runner.notStarted(job, task, attempt);
        return;
      }
      command = command(job, task, agent.commandDeadlineMs());
      task.startDeadlineMs(command.notAfterMs());
      task.phase(Phase.STARTING);
    }
    agent
        .start(command)
        .whenComplete((reply, failure) -> started(job, task, attempt, reply, failure));
  }

  private boolean mayCommand(WorkerAgent agent) {
    return state.context().hasAuthority() && state.nowMs() < agent.authorityUntilMs();
  }

  private StartCommand command(Job job, JobTask task, long notAfterMs) {
    Map<String, String> labels =
        Map.of(
            JOB_LABEL, job.jobId(),
            TASK_LABEL, String.valueOf(task.attempt()),
            RECORD_LABEL, state.context().specCodec().encode(job.spec()));
    return new StartCommand(
        task.workerTaskId(),
        labels,
        job.spec().demand(),
        job.spec().payload(),
        task.checkpoint(),
        state.context().settings().taskLeaseMs(),
        notAfterMs);
  }

  /** Called without the lock. */
  private void started(
      Job job,
      JobTask task,
      TaskId attempt,
      @Nullable CommandReply reply,
      @Nullable Throwable failure) {
    synchronized (state.lock()) {
      if (!task.isCurrentAttempt(attempt) || task.phase() != Phase.STARTING) {
        return;
      }
      if (reply != null && reply.outcome() == CommandOutcome.DONE) {
        task.markRunning(state.nowMs());
        if (job.cancelled()) {
          stopper.stop(task);
        }
      } else if (reply != null || hadNoEffect(failure)) {
        runner.notStarted(job, task, attempt);
      } else {
        task.phase(Phase.START_UNANSWERED);
      }
    }
    state.dispatch();
  }

  private static boolean hadNoEffect(@Nullable Throwable failure) {
    return WorkerAgent.unwrap(failure) instanceof PlatformException e && !e.mayHaveTakenEffect();
  }
}
