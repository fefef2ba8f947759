package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.TaskId;

/** Applies generated events to a scheduler and checks the invariants of its decisions. */
final class SchedulerModel {

  private static final int WORKERS = 5;
  private static final int TEAMS = 3;
  private static final int EVENTS = 12;
  private static final long TICK_MS = 500;
  private static final Resources[] DEMANDS = {
    TestFixtures.SMALL,
    new Resources(2, 4, 3_000, 2_048, 0),
    new Resources(4, 8, 12_000, 20_000, 0),
    new Resources(1, 1, 500, 512, 1),
    TestFixtures.WHOLE_WORKER,
    new Resources(9, 1, 1, 1, 0)
  };

  private static final List<JobKind> KINDS = List.of(JobKind.values());
  private static final List<JobClass> CLASSES = List.of(JobClass.values());

  private record Running(JobSpec spec, String workerId, long startedMs) {}

  private final CellScheduler scheduler;
  private final Map<String, WorkerProfile> schedulableWorkers = new HashMap<>();
  private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
  private final Map<TaskId, Running> running = new LinkedHashMap<>();
  private final Map<String, TaskId> lastAttempts = new HashMap<>();
  private final Set<String> endedNonRepeatable = new HashSet<>();
  private long nowMs;
  private int nextJob;

  SchedulerModel(CellScheduler scheduler) {
    this.scheduler = scheduler;
    for (int i = 0; i < WORKERS; i++) {
      addOrUpdateWorker(i, false);
    }
  }

  /** Applies the event encoded by a number, then checks the scheduler's decisions. */
  void step(int number) {
    int argument = number / EVENTS;
    switch (number % EVENTS) {
      case 0, 1, 2 -> submit(argument);
      case 3, 4 -> end(argument, TaskEnd.Outcome.SUCCEEDED);
      case 5 -> end(argument, TaskEnd.Outcome.FAILED);
      case 6 -> end(argument, TaskEnd.Outcome.NOT_STARTED);
      case 7 -> end(argument, TaskEnd.Outcome.STOPPED);
      case 8 -> cancel(argument);
      case 9 -> loseWorker(argument);
      case 10 -> addOrUpdateWorker(argument, argument % 7 == 0);
      default -> report(argument);
    }
    nowMs += TICK_MS * (1 + argument % 40);
    decide();
  }

  /** Makes all workers available, cancels services and lets all running tasks succeed. */
  void settle(int rounds) {
    for (int i = 0; i < WORKERS; i++) {
      addOrUpdateWorker(i, false);
    }
    cancelServices();
    for (int round = 0; round < rounds; round++) {
      List.copyOf(running.keySet()).forEach(task -> finish(task, TaskEnd.Outcome.SUCCEEDED));
      nowMs += 10_000;
      decide();
    }
  }

  /** Submits an all-at-once job that fills every worker; returns how many tasks started. */
  int startOnAllWorkers() {
    JobSpec spec =
        TestFixtures.job(
            "last", JobKind.ALL_AT_ONCE, JobClass.NORMAL, WORKERS, TestFixtures.WHOLE_WORKER);
    jobs.put("last", spec);
    TestFixtures.submit(scheduler, "last", spec, nowMs);
    return TestFixtures.starts(decide()).size();
  }

  /** Returns the jobs that are still waiting although they fit on a worker. */
  List<String> waitingJobs() {
    List<String> waiting = new ArrayList<>();
    jobs.forEach(
        (jobId, spec) -> {
          boolean fits = spec.demand().fitsIn(TestFixtures.WORKER_WITH_ACCELERATORS);
          List<String> causes = scheduler.explain(jobId, nowMs);
          if (fits && !causes.isEmpty()) {
            waiting.add(jobId + " " + spec + ": " + causes);
          }
        });
    return waiting;
  }

  private void submit(int argument) {
    JobKind kind = KINDS.get(argument % KINDS.size());
    JobClass jobClass = CLASSES.get(argument / 3 % CLASSES.size());
    Resources demand = DEMANDS[argument / 9 % DEMANDS.length];
    int taskCount = demand.slots() > 4 ? 1 : 1 + argument % 4;
    boolean repeatable = argument % 4 != 0;
    String team = "team-" + argument % TEAMS;
    JobSpec spec =
        TestFixtures.job(team, "n" + argument % 2, kind, jobClass, taskCount, demand, repeatable);
    String jobId = "j" + nextJob++;
    jobs.put(jobId, spec);
    TestFixtures.submit(scheduler, jobId, spec, nowMs);
  }

  private void end(int argument, TaskEnd.Outcome outcome) {
    if (!running.isEmpty()) {
      List<TaskId> tasks = List.copyOf(running.keySet());
      finish(tasks.get(argument % tasks.size()), outcome);
    }
  }

  private void finish(TaskId task, TaskEnd.Outcome outcome) {
    Running ended = running.remove(task);
    if (!ended.spec.repeatable() && outcome != TaskEnd.Outcome.NOT_STARTED) {
      endedNonRepeatable.add(task.jobId() + "/" + task.index());
    }
    scheduler.taskEnded(task, new TaskEnd(outcome, nowMs - ended.startedMs), nowMs);
  }

  private void cancel(int argument) {
    if (!jobs.isEmpty()) {
      List<String> ids = List.copyOf(jobs.keySet());
      cancel(ids.get(argument % ids.size()));
    }
  }

  private void cancel(String jobId) {
    jobs.remove(jobId);
    scheduler.cancel(jobId);
  }

  private void cancelServices() {
    for (Map.Entry<String, JobSpec> job : Map.copyOf(jobs).entrySet()) {
      if (job.getValue().kind() == JobKind.SERVICE) {
        cancel(job.getKey());
      }
    }
  }

  private void loseWorker(int argument) {
    String workerId = "w" + argument % WORKERS;
    schedulableWorkers.remove(workerId);
    scheduler.workerLost(workerId);
  }

  private void addOrUpdateWorker(int argument, boolean leaving) {
    int number = argument % WORKERS;
    Resources capacity = number == 0 ? TestFixtures.WORKER_WITH_ACCELERATORS : TestFixtures.WORKER;
    WorkerProfile profile =
        new WorkerProfile("w" + number, "rack-" + number % 2, capacity, leaving);
    schedulableWorkers.put(profile.workerId(), profile);
    scheduler.workerAvailable(profile, nowMs);
  }

  private void report(int argument) {
    UsageReport report =
        new UsageReport(argument * 37 % 20_000, argument * 53 % 40_000, argument % 80, 3_000);
    scheduler.usageReported("w" + argument % WORKERS, report, nowMs);
  }

  private List<Decision> decide() {
    List<Decision> decisions = scheduler.decide(nowMs);
    Map<String, Integer> startsByJob = new HashMap<>();
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Start start) {
        checkStart(start);
        startsByJob.merge(start.task().jobId(), 1, Integer::sum);
      } else if (decision instanceof Decision.Preempt preempt) {
        assertThat(running.get(preempt.task()).spec.repeatable()).isTrue();
      } else if (decision instanceof Decision.GiveUp giveUp) {
        jobs.remove(giveUp.jobId());
      }
    }
    startsByJob.forEach(this::checkAllAtOnce);
    return decisions;
  }

  private void checkStart(Decision.Start start) {
    TaskId task = start.task();
    JobSpec spec = jobs.get(task.jobId());
    assertWithMessage("start of ended or cancelled %s", task).that(spec).isNotNull();
    String name = task.jobId() + "/" + task.index();
    assertWithMessage("second run of non-repeatable %s", task)
        .that(endedNonRepeatable)
        .doesNotContain(name);
    TaskId last = lastAttempts.put(name, task);
    assertThat(last == null || task.attempt() > last.attempt()).isTrue();
    assertThat(last == null || !running.containsKey(last)).isTrue();
    WorkerProfile worker = schedulableWorkers.get(start.workerId());
    assertWithMessage("start on unavailable worker %s", start.workerId()).that(worker).isNotNull();
    assertThat(worker.leaving()).isFalse();
    running.put(task, new Running(spec, start.workerId(), nowMs));
    assertWithMessage("allocated demand on %s fits its capacity", start.workerId())
        .that(used(start.workerId()).fitsIn(worker.capacity()))
        .isTrue();
  }

  private void checkAllAtOnce(String jobId, int startCount) {
    boolean first =
        lastAttempts.values().stream()
            .filter(task -> task.jobId().equals(jobId))
            .allMatch(task -> task.attempt() == 1);
    JobSpec spec = jobs.get(jobId);
    if (spec != null && spec.kind() == JobKind.ALL_AT_ONCE && first) {
      assertWithMessage("started tasks of all-at-once job %s", jobId)
          .that(startCount)
          .isEqualTo(spec.taskCount());
    }
  }

  private Resources used(String workerId) {
    Resources sum = Resources.NONE;
    for (Running task : running.values()) {
      if (task.workerId.equals(workerId)) {
        sum = sum.plus(task.spec.demand());
      }
    }
    return sum;
  }
}
