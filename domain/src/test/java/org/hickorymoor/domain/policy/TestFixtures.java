package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.domain.job.TaskId;

/** Jobs, workers and task ends shared by the tests. */
final class TestFixtures {

  static final Resources WORKER = new Resources(8, 64, 16_000, 32_768, 0);
  static final Resources WORKER_WITH_ACCELERATORS = new Resources(8, 64, 16_000, 32_768, 4);
  static final Resources SMALL = new Resources(1, 1, 1_000, 1_024, 0);
  static final Resources WHOLE_WORKER = new Resources(8, 8, 16_000, 32_768, 0);

  private TestFixtures() {}

  static JobSpec job(
      String team, JobKind kind, JobClass jobClass, int taskCount, Resources demand) {
    return job(team, "proof", kind, jobClass, taskCount, demand, true);
  }

  static JobSpec job(
      String team,
      String name,
      JobKind kind,
      JobClass jobClass,
      int taskCount,
      Resources demand,
      boolean repeatable) {
    return new JobSpec(
        new RequestKey(team, "key"),
        name,
        kind,
        jobClass,
        taskCount,
        demand,
        0,
        "",
        repeatable,
        Spread.NONE,
        0,
        null);
  }

  static JobSpec batch(String team, int taskCount) {
    return job(team, JobKind.BATCH, JobClass.BATCH, taskCount, SMALL);
  }

  static JobSpec urgent(String team) {
    return job(team, JobKind.BATCH, JobClass.URGENT, 1, SMALL);
  }

  static JobSpec nonRepeatable(String team) {
    return job(team, "plate", JobKind.BATCH, JobClass.NORMAL, 1, SMALL, false);
  }

  static WorkerProfile worker(String workerId) {
    return new WorkerProfile(workerId, "rack-1", WORKER, false);
  }

  static List<TaskId> firstAttempts(String jobId, JobSpec spec) {
    List<TaskId> tasks = new ArrayList<>();
    for (int index = 0; index < spec.taskCount(); index++) {
      tasks.add(new TaskId(jobId, index, 1));
    }
    return tasks;
  }

  static void submit(CellScheduler scheduler, String jobId, JobSpec spec, long nowMs) {
    scheduler.submit(jobId, spec, firstAttempts(jobId, spec), nowMs);
  }

  static List<Decision.Start> starts(List<Decision> decisions) {
    return decisions.stream()
        .filter(Decision.Start.class::isInstance)
        .map(Decision.Start.class::cast)
        .toList();
  }

  static List<String> startedJobs(List<Decision> decisions) {
    return starts(decisions).stream().map(start -> start.task().jobId()).toList();
  }

  static TaskEnd succeeded(long ranMs) {
    return new TaskEnd(TaskEnd.Outcome.SUCCEEDED, ranMs);
  }

  static TaskEnd failed() {
    return new TaskEnd(TaskEnd.Outcome.FAILED, 10);
  }

  static TaskEnd stopped(long ranMs) {
    return new TaskEnd(TaskEnd.Outcome.STOPPED, ranMs);
  }
}
