package org.hickorymoor.daemon.coordinator;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorymoor.daemon.coordinator.JobTask.Phase;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.policy.UsageReport;
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.RunningTask;
import org.hickorymoor.protocol.platform.SyncReply;
import org.jspecify.annotations.Nullable;

/** Reconciles the task lists of workers with the cell's state. Guarded by the cell's lock. */
final class WorkerReconciler {

  private static final int ORPHAN_ATTEMPT_OFFSET = 1_000_000;

  private final CellState state;
  private final CellContext context;
  private final JobTable jobs;
  private final TaskRunner runner;
  private final Map<String, String> incarnations = new HashMap<>();

  WorkerReconciler(CellState state, TaskRunner runner) {
    this.state = state;
    this.context = state.context();
    this.jobs = state.jobs();
    this.runner = runner;
  }

  /** Returns the last seen incarnation of a worker, or an empty string before its first list. */
  String incarnation(String workerId) {
    return incarnations.getOrDefault(workerId, "");
  }

  /** Applies a worker's task list to the cell's state. */
  void reconcile(WorkerAgent agent, long sentMs, SyncReply reply) {
    String workerId = agent.workerId();
    incarnations.put(workerId, reply.incarnation());
    Set<String> listed = new HashSet<>();
    for (RunningTask running : reply.tasks()) {
      listed.add(running.taskId());
      if (!OwnershipLeases.isOwnershipLease(running.taskId())) {
        reconcileRunning(agent, running);
      }
    }
    for (EndedTask ended : reply.ended()) {
      listed.add(ended.taskId());
      reconcileEnded(agent, ended);
    }
    jobs.tasksOn(workerId)
        .forEach(
            (taskId, entry) -> {
              if (!listed.contains(taskId)) {
                reconcileMissing(entry, sentMs, reply);
              }
            });
    reportUsage(workerId, reply);
  }

  private void reportUsage(String workerId, SyncReply reply) {
    var usage = reply.usage();
    if (usage != null) {
      long ageMs = Math.max(0, reply.nowMs() - usage.atMs());
      UsageReport report =
          new UsageReport(usage.cpuMillis(), usage.memoryMb(), usage.connections(), ageMs);
      state.scheduler().usageReported(workerId, report, state.nowMs());
    }
  }

  private void reconcileRunning(WorkerAgent agent, RunningTask running) {
    JobTable.Entry entry = jobs.find(agent.workerId(), running.taskId());
    if (entry == null) {
      adopt(agent, running);
      return;
    }
    Phase phase = entry.task().phase();
    if (phase == Phase.STARTING || phase == Phase.START_UNANSWERED) {
      entry.task().markRunning(state.nowMs());
    } else if (phase == Phase.IN_DOUBT) {
      runner.foundRunning(entry.job(), entry.task(), agent.workerId());
    }
    if (entry.job().cancelled()) {
      runner.stop(entry.task());
    }
  }

  /** Adopts a running task that an earlier coordinator started, or stops it if superseded. */
  private void adopt(WorkerAgent agent, RunningTask running) {
    Labels labels = Labels.read(running.labels(), context.specCodec());
    if (labels == null) {
      agent.askForLabels();
      return;
    }
    Job job = findOrAddJob(labels);
    JobTask task = job.tasks().get(labels.attempt().index());
    boolean superseded = task.phase() != Phase.WAITING && task.phase() != Phase.IN_DOUBT;
    task = superseded ? new JobTask(task.index()) : task;
    task.assign(
        superseded ? orphanAttempt(labels.attempt()) : labels.attempt(),
        running.taskId(),
        agent.workerId(),
        incarnation(agent.workerId()),
        Phase.RUNNING);
    task.markRunning(state.nowMs());
    jobs.addPlacement(agent.workerId(), running.taskId(), job, task);
    if (superseded || job.cancelled() || job.ended()) {
      runner.stop(task);
      return;
    }
    state.scheduler().taskRecovered(labels.attempt(), job.spec(), agent.workerId(), state.nowMs());
  }

  /** Returns an id for an attempt to be stopped that no regular attempt at the task uses. */
  private static TaskId orphanAttempt(TaskId attempt) {
    return new TaskId(attempt.jobId(), attempt.index(), attempt.attempt() + ORPHAN_ATTEMPT_OFFSET);
  }

  private Job findOrAddJob(Labels labels) {
    Job job = jobs.byId(labels.attempt().jobId());
    if (job == null) {
      job = new Job(labels.attempt().jobId(), labels.spec(), state.nowMs());
      jobs.add(job);
    }
    return job;
  }

  private void reconcileEnded(WorkerAgent agent, EndedTask ended) {
    if (OwnershipLeases.isOwnershipLease(ended.taskId())) {
      agent.acknowledge(ended.taskId());
      return;
    }
    JobTable.Entry entry = jobs.find(agent.workerId(), ended.taskId());
    if (entry != null) {
      runner.ended(entry.job(), entry.task(), agent, ended);
      return;
    }
    Labels labels = Labels.read(ended.labels(), context.specCodec());
    if (labels == null) {
      agent.askForLabels();
      return;
    }
    adoptEnded(agent, ended, labels);
  }

  /** Handles an end that no earlier coordinator has handled, or acknowledges a stale one. */
  private void adoptEnded(WorkerAgent agent, EndedTask ended, Labels labels) {
    Job job = findOrAddJob(labels);
    JobTask task = job.tasks().get(labels.attempt().index());
    boolean neverAssigned = task.phase() == Phase.IN_DOUBT && task.attempt() == null;
    boolean open = !job.queued() && (task.phase() == Phase.WAITING || neverAssigned);
    if (!open) {
      agent.acknowledge(ended.taskId());
      return;
    }
    task.assign(
        labels.attempt(),
        ended.taskId(),
        agent.workerId(),
        incarnation(agent.workerId()),
        Phase.RUNNING);
    state.scheduler().taskRecovered(labels.attempt(), job.spec(), agent.workerId(), state.nowMs());
    runner.ended(job, task, agent, ended);
  }

  private void reconcileMissing(JobTable.Entry entry, long sentMs, SyncReply reply) {
    JobTask task = entry.task();
    TaskId attempt = task.attempt();
    boolean restarted = !reply.incarnation().equals(task.workerIncarnation());
    switch (task.phase()) {
      case IN_DOUBT -> {
        boolean neverStarted =
            task.runningConfirmedMs() == 0 && reply.nowMs() > task.startDeadlineMs();
        if (!restarted && neverStarted) {
          runner.requeue(entry.job(), task);
        } else if (restarted) {
          runner.lostInRestart(entry.job(), task);
        }
      }
      case RUNNING -> {
        if (restarted || task.runningConfirmedMs() < sentMs) {
          runner.taskLost(
              entry.job(),
              task,
              ReasonType.WORKER_RESTARTED,
              "Worker " + task.workerId() + " no longer knows task " + task.index() + ".");
        }
      }
      case START_UNANSWERED -> {
        if (attempt != null && !restarted && reply.nowMs() > task.startDeadlineMs()) {
          runner.notStarted(entry.job(), task, attempt);
        } else if (restarted) {
          runner.taskLost(
              entry.job(),
              task,
              ReasonType.WORKER_RESTARTED,
              "Worker " + task.workerId() + " restarted before it confirmed the start.");
        }
      }
      default -> {}
    }
  }

  /** Handles the expiry of all task leases on an unreachable worker. */
  void expireTasks(String workerId) {
    for (JobTable.Entry entry : jobs.tasksOn(workerId).values()) {
      if (entry.task().phase().mayBeRunning()) {
        runner.taskLost(
            entry.job(),
            entry.task(),
            ReasonType.WORKER_UNREACHABLE,
            "Worker " + workerId + " is unreachable and the task's lease has expired.");
      }
    }
  }

  /**
   * The decoded labels of a task.
   *
   * @param attempt the attempt
   * @param spec specification of its job
   */
  private record Labels(TaskId attempt, JobSpec spec) {

    static @Nullable Labels read(@Nullable Map<String, String> labels, JobSpecCodec specCodec) {
      if (labels == null) {
        return null;
      }
      String task = labels.get(TaskStarter.TASK_LABEL);
      Optional<JobSpec> spec = specCodec.decode(labels.getOrDefault(TaskStarter.RECORD_LABEL, ""));
      return task == null || spec.isEmpty() ? null : new Labels(TaskId.parse(task), spec.get());
    }
  }
}
