package org.hickorymoor.daemon.coordinator;

import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.policy.Decision;
import org.hickorymoor.protocol.platform.CommandOutcome;
import org.hickorymoor.protocol.platform.CommandReply;
import org.jspecify.annotations.Nullable;

/** Stops, throttles and checkpoints running tasks. Guarded by the cell's lock. */
final class TaskStopper {

  private final CellState state;

  TaskStopper(CellState state) {
    this.state = state;
  }

  /** Requests that a running task be stopped; the worker's list later reports its end. */
  void stop(JobTask task) {
    String workerId = task.workerId();
    WorkerAgent agent = workerId == null ? null : state.context().agents().apply(workerId);
    if (agent == null || task.stopping()) {
      return;
    }
    task.stopping(true);
    String workerTaskId = task.workerTaskId();
    state.defer(
        () ->
            agent
                .stop(workerTaskId)
                .whenComplete((reply, failure) -> stopped(task, workerTaskId, reply)));
  }

  /** Called without the lock. */
  private void stopped(JobTask task, String workerTaskId, @Nullable CommandReply reply) {
    synchronized (state.lock()) {
      boolean confirmed = reply != null && reply.outcome() == CommandOutcome.DONE;
      if (!confirmed && task.workerTaskId().equals(workerTaskId)) {
        task.stopping(false);
      }
    }
  }

  void throttle(Decision.Throttle throttle) {
    JobTask task = find(throttle.task());
    WorkerAgent agent = state.context().agents().apply(throttle.workerId());
    if (task != null && agent != null) {
      String workerTaskId = task.workerTaskId();
      state.defer(() -> agent.throttle(workerTaskId, throttle.percent()));
    }
  }

  void preempt(Decision.Preempt preempt) {
    JobTask task = find(preempt.task());
    WorkerAgent agent = state.context().agents().apply(preempt.workerId());
    if (task == null || agent == null) {
      return;
    }
    if (!preempt.checkpointFirst()) {
      stop(task);
      return;
    }
    String workerTaskId = task.workerTaskId();
    state.defer(
        () ->
            agent
                .checkpoint(workerTaskId)
                .whenComplete((reply, failure) -> checkpointed(task, workerTaskId, reply)));
  }

  /** Called without the lock. */
  private void checkpointed(JobTask task, String workerTaskId, @Nullable CommandReply reply) {
    synchronized (state.lock()) {
      if (!task.workerTaskId().equals(workerTaskId)) {
        return;
      }
      if (reply != null && reply.outcome() == CommandOutcome.DONE) {
        task.checkpoint(reply.checkpoint());
      }
      stop(task);
    }
    state.dispatch();
  }

  private @Nullable JobTask find(TaskId attempt) {
    Job job = state.jobs().byId(attempt.jobId());
    if (job == null) {
      return null;
    }
    JobTask task = job.tasks().get(attempt.index());
    return task.isCurrentAttempt(attempt) && task.phase().mayBeRunning() ? task : null;
  }
}
