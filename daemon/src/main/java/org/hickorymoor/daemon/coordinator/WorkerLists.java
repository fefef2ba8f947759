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

/**
 * Compares what workers list with what the cell expects on them. Guarded by the lock of its cell.
 */
final class WorkerLists {

  private static final int ORPHAN_ATTEMPTS = 1_000_000;

  private final CellState state;
  private final CellContext context;
  private final JobTable jobs;
  private final TaskRunner runner;
  private final Map<String, String> incarnations = new HashMap<>();

  WorkerLists(CellState state, TaskRunner runner) {
    this.state = state;
    this.context = state.context();
    this.jobs = state.jobs();
    this.runner = runner;
  }

  /** Returns which life of a worker was last seen, or an empty text before the first list. */
  String incarnation(String workerId) {
    return incarnations.getOrDefault(workerId, "");
  }

  /** Takes in one list. */
  void take(WorkerAgent agent, long sentMs, SyncReply reply) {
    String workerId = agent.workerId();
    incarnations.put(workerId, reply.incarnation());
    Set<String> listed = new HashSet<>();
    for (RunningTask running : reply.tasks()) {
      listed.add(running.taskId());
      if (!HoldLists.isHold(running.taskId())) {
        running(agent, running);
      }
    }
    for (EndedTask ended : reply.ended()) {
      listed.add(ended.taskId());
      ended(agent, ended);
    }
    jobs.on(workerId)
        .forEach(
            (taskId, entry) -> {
              if (!listed.contains(taskId)) {
                missing(entry, sentMs, reply);
              }
            });
    report(workerId, reply);
  }

  private void report(String workerId, SyncReply reply) {
    var usage = reply.usage();
    if (usage != null) {
      long ageMs = Math.max(0, reply.nowMs() - usage.atMs());
      UsageReport report =
          new UsageReport(usage.cpuMillis(), usage.memoryMb(), usage.connections(), ageMs);
      state.scheduler().usageReported(workerId, report, state.nowMs());
    }
  }

  private void running(WorkerAgent agent, RunningTask running) {
    JobTable.Entry entry = jobs.find(agent.workerId(), running.taskId());
    if (entry == null) {
      adopt(agent, running);
      return;
    }
    Phase phase = entry.task().phase();
    if (phase == Phase.STARTING || phase == Phase.START_UNANSWERED) {
      entry.task().running(state.nowMs());
    } else if (phase == Phase.IN_DOUBT) {
      runner.cleared(entry.job(), entry.task(), agent.workerId());
    }
    if (entry.job().cancelled()) {
      runner.stop(entry.task());
    }
  }

  /** Takes over a task that an earlier coordinator started. */
  private void adopt(WorkerAgent agent, RunningTask running) {
    Labels labels = Labels.read(running.labels(), context.records());
    if (labels == null) {
      agent.askForLabels();
      return;
    }
    Job job = jobOf(labels);
    JobTask task = job.tasks().get(labels.attempt().index());
    boolean taken = task.phase() != Phase.WAITING && task.phase() != Phase.IN_DOUBT;
    task = taken ? new JobTask(task.index()) : task;
    task.given(
        taken ? orphan(labels.attempt()) : labels.attempt(),
        running.taskId(),
        agent.workerId(),
        incarnation(agent.workerId()),
        Phase.RUNNING);
    task.running(state.nowMs());
    jobs.place(agent.workerId(), running.taskId(), job, task);
    if (taken || job.cancelled() || job.ended()) {
      runner.stop(task);
      return;
    }
    state.scheduler().taskRecovered(labels.attempt(), job.spec(), agent.workerId(), state.nowMs());
  }

  /** Names an attempt that is only to be stopped, so that its end is taken for no other's. */
  private static TaskId orphan(TaskId attempt) {
    return new TaskId(attempt.jobId(), attempt.index(), attempt.attempt() + ORPHAN_ATTEMPTS);
  }

  private Job jobOf(Labels labels) {
    Job job = jobs.byId(labels.attempt().jobId());
    if (job == null) {
      job = new Job(labels.attempt().jobId(), labels.spec(), state.nowMs());
      jobs.add(job);
    }
    return job;
  }

  private void ended(WorkerAgent agent, EndedTask ended) {
    if (HoldLists.isHold(ended.taskId())) {
      agent.acknowledge(ended.taskId());
      return;
    }
    JobTable.Entry entry = jobs.find(agent.workerId(), ended.taskId());
    if (entry != null) {
      runner.ended(entry.job(), entry.task(), agent, ended);
      return;
    }
    Labels labels = Labels.read(ended.labels(), context.records());
    if (labels == null) {
      agent.askForLabels();
      return;
    }
    endedEarlier(agent, ended, labels);
  }

  /** Takes in an end that an earlier coordinator has not taken in, or acknowledges a stale one. */
  private void endedEarlier(WorkerAgent agent, EndedTask ended, Labels labels) {
    Job job = jobOf(labels);
    JobTask task = job.tasks().get(labels.attempt().index());
    boolean untouched = task.phase() == Phase.IN_DOUBT && task.attempt() == null;
    boolean open = !job.queued() && (task.phase() == Phase.WAITING || untouched);
    if (!open) {
      agent.acknowledge(ended.taskId());
      return;
    }
    task.given(
        labels.attempt(),
        ended.taskId(),
        agent.workerId(),
        incarnation(agent.workerId()),
        Phase.RUNNING);
    state.scheduler().taskRecovered(labels.attempt(), job.spec(), agent.workerId(), state.nowMs());
    runner.ended(job, task, agent, ended);
  }

  private void missing(JobTable.Entry entry, long sentMs, SyncReply reply) {
    JobTask task = entry.task();
    TaskId attempt = task.attempt();
    boolean restarted = !reply.incarnation().equals(task.workerIncarnation());
    switch (task.phase()) {
      case IN_DOUBT -> {
        boolean neverStarted = task.confirmedMs() == 0 && reply.nowMs() > task.startLimitMs();
        if (!restarted && neverStarted) {
          runner.reopen(entry.job(), task);
        } else if (restarted) {
          runner.lostForGood(entry.job(), task);
        }
      }
      case RUNNING -> {
        if (restarted || task.confirmedMs() < sentMs) {
          runner.vanished(
              entry.job(),
              task,
              ReasonType.WORKER_RESTARTED,
              "Worker " + task.workerId() + " no longer knows task " + task.index() + ".");
        }
      }
      case START_UNANSWERED -> {
        if (attempt != null && !restarted && reply.nowMs() > task.startLimitMs()) {
          runner.notStarted(entry.job(), task, attempt);
        } else if (restarted) {
          runner.vanished(
              entry.job(),
              task,
              ReasonType.WORKER_RESTARTED,
              "Worker " + task.workerId() + " restarted before it confirmed the start.");
        }
      }
      default -> {}
    }
  }

  /** Takes in that every task on a worker out of reach has lapsed. */
  void lapse(String workerId) {
    for (JobTable.Entry entry : jobs.on(workerId).values()) {
      if (entry.task().phase().mayRun()) {
        runner.vanished(
            entry.job(),
            entry.task(),
            ReasonType.WORKER_UNREACHABLE,
            "Worker " + workerId + " can't be asked; the task's lease has passed.");
      }
    }
  }

  /**
   * What a task carries with it.
   *
   * @param attempt the attempt
   * @param spec its job
   */
  private record Labels(TaskId attempt, JobSpec spec) {

    static @Nullable Labels read(@Nullable Map<String, String> labels, RecordText records) {
      if (labels == null) {
        return null;
      }
      String task = labels.get(TaskStarter.TASK_LABEL);
      Optional<JobSpec> spec = records.read(labels.getOrDefault(TaskStarter.RECORD_LABEL, ""));
      return task == null || spec.isEmpty() ? null : new Labels(TaskId.parse(task), spec.get());
    }
  }
}
