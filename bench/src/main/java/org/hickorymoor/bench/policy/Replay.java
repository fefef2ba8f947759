package org.hickorymoor.bench.policy;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.policy.CellScheduler;
import org.hickorymoor.domain.policy.Decision;
import org.hickorymoor.domain.policy.TaskEnd;
import org.hickorymoor.domain.policy.UsageReport;
import org.hickorymoor.domain.policy.WorkerProfile;

/**
 * Drives a scheduler with recorded arrivals, and ends its tasks at their true time.
 *
 * <p>Nothing else of a cluster is imitated: no machine slows down and no message is lost.
 */
final class Replay {

  private static final long TICK_MS = 20;
  private static final long REPORT_EVERY_MS = 1_000;
  private static final long REPORT_AGE_MS = 2_000;
  private static final long STOP_MS = 100;
  private static final long DRAIN_MS = 600_000;

  private record Running(Arrival arrival, String workerId, long startedMs) {}

  private record TrueUse(double cpuMillis, double memoryMb, int connections) {}

  private record End(long atMs, TaskId task, TaskEnd.Outcome outcome) {}

  private final CellScheduler scheduler;
  private final List<Arrival> arrivals;
  private final List<WorkerProfile> workers = Workload.workers();
  private final Map<String, Arrival> jobs = new HashMap<>();
  private final Map<TaskId, Running> running = new LinkedHashMap<>();
  private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingLong(End::atMs));
  private final Set<String> everStarted = new HashSet<>();
  private final ReplayResult result = new ReplayResult();
  private int nextArrival;
  private long arrivedTasks;
  private long nowMs;

  Replay(CellScheduler scheduler, List<Arrival> arrivals) {
    this.scheduler = scheduler;
    this.arrivals = arrivals;
  }

  /** Runs until everything that arrived was started, or for some time after the last arrival. */
  ReplayResult run() {
    workers.forEach(worker -> scheduler.workerAvailable(worker, nowMs));
    long endMs = arrivals.get(arrivals.size() - 1).atMs() + DRAIN_MS;
    boolean allStarted = false;
    while (nowMs < endMs && !allStarted) {
      tick();
      allStarted = nextArrival == arrivals.size() && everStarted.size() == arrivedTasks;
    }
    result.neverStartedTasks = arrivedTasks - everStarted.size();
    return result;
  }

  private void tick() {
    nowMs += TICK_MS;
    endTasks();
    submitArrivals();
    if (nowMs % REPORT_EVERY_MS == 0) {
      workers.forEach(this::report);
      sample();
    }
    for (Decision decision : scheduler.decide(nowMs)) {
      result.decisions++;
      carryOut(decision);
    }
  }

  private void endTasks() {
    while (!ends.isEmpty() && ends.peek().atMs <= nowMs) {
      End end = ends.remove();
      Running task = running.remove(end.task);
      if (task != null) {
        TaskEnd told = new TaskEnd(end.outcome, nowMs - task.startedMs);
        scheduler.taskEnded(end.task, told, nowMs);
      }
    }
  }

  private void submitArrivals() {
    while (nextArrival < arrivals.size() && arrivals.get(nextArrival).atMs() <= nowMs) {
      Arrival arrival = arrivals.get(nextArrival++);
      jobs.put(arrival.jobId(), arrival);
      List<TaskId> tasks = new ArrayList<>();
      for (int i = 0; i < arrival.spec().taskCount(); i++) {
        tasks.add(new TaskId(arrival.jobId(), i, 1));
      }
      arrivedTasks += tasks.size();
      scheduler.submit(arrival.jobId(), arrival.spec(), tasks, nowMs);
    }
  }

  private void carryOut(Decision decision) {
    if (decision instanceof Decision.Start start) {
      start(start);
    } else if (decision instanceof Decision.Preempt preempt) {
      result.preemptions++;
      Running task = running.get(preempt.task());
      result.lostRunMs += task == null ? 0 : nowMs - task.startedMs;
      ends.add(new End(nowMs + STOP_MS, preempt.task(), TaskEnd.Outcome.STOPPED));
    } else if (decision instanceof Decision.Throttle) {
      result.throttles++;
    }
  }

  private void start(Decision.Start start) {
    TaskId task = start.task();
    Arrival arrival = requireNonNull(jobs.get(task.jobId()));
    running.put(task, new Running(arrival, start.workerId(), nowMs));
    if (arrival.runMs() != Long.MAX_VALUE) {
      ends.add(new End(nowMs + arrival.runMs(), task, TaskEnd.Outcome.SUCCEEDED));
    }
    if (everStarted.add(task.jobId() + "/" + task.index())) {
      recordWait(arrival, nowMs - arrival.atMs());
    }
  }

  private void recordWait(Arrival arrival, long waitMs) {
    result.startedTasks++;
    result.waitMs(arrival.spec().jobClass()).recordValue(waitMs);
    if (arrival.spec().demand().accelerators() > 0) {
      result.acceleratorWaitMs.recordValue(waitMs);
    }
    if (arrival.spec().kind() == JobKind.ALL_AT_ONCE) {
      result.togetherWaitMs.recordValue(waitMs);
    }
  }

  private void report(WorkerProfile worker) {
    TrueUse now = trueUse(worker, nowMs);
    boolean overused =
        now.cpuMillis > worker.capacity().cpuMillis()
            || now.memoryMb > worker.capacity().memoryMb();
    result.sampleOveruse(overused);
    TrueUse old = trueUse(worker, nowMs - REPORT_AGE_MS);
    UsageReport report =
        new UsageReport((int) old.cpuMillis, (int) old.memoryMb, old.connections, REPORT_AGE_MS);
    scheduler.usageReported(worker.workerId(), report, nowMs);
  }

  /** Returns what the tasks that run now and had started by some time use. */
  private TrueUse trueUse(WorkerProfile worker, long startedByMs) {
    double cpuMillis = 0;
    double memoryMb = 0;
    int connections = 0;
    for (Running task : running.values()) {
      if (task.workerId.equals(worker.workerId()) && task.startedMs <= startedByMs) {
        Resources demand = task.arrival.spec().demand();
        cpuMillis += demand.cpuMillis() * task.arrival.useFactor();
        memoryMb += demand.memoryMb() * task.arrival.useFactor();
        connections += demand.connections();
      }
    }
    return new TrueUse(cpuMillis, memoryMb, connections);
  }

  private void sample() {
    int slots = 0;
    Set<String> touched = new HashSet<>();
    for (Running task : running.values()) {
      slots += task.arrival.spec().demand().slots();
      touched.add(task.workerId);
    }
    int total = workers.stream().mapToInt(worker -> worker.capacity().slots()).sum();
    result.sampleTouched(touched.size());
    if (everStarted.size() < arrivedTasks) {
      result.sampleUse((double) slots / total);
    }
  }
}
