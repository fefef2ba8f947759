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
 * Simulates a cell in virtual time: feeds a fixed list of arrivals to a scheduler and ends each
 * task after its actual run time.
 *
 * <p>Other effects of a real cluster are not modelled: workers do not slow down under load, and no
 * messages are lost.
 */
final class Replay {

  private static final long TICK_MS = 20;
  private static final long REPORT_INTERVAL_MS = 1_000;
  private static final long REPORT_AGE_MS = 2_000;
  private static final long PREEMPTION_STOP_MS = 100;
  private static final long MAX_DRAIN_MS = 600_000;

  private record RunningTask(Arrival arrival, String workerId, long startedMs) {}

  private record ActualUsage(double cpuMillis, double memoryMb, int connections) {}

  private record ScheduledEnd(long atMs, TaskId task, TaskEnd.Outcome outcome) {}

  private final CellScheduler scheduler;
  private final List<Arrival> arrivals;
  private final List<WorkerProfile> workers = Workload.workers();
  private final Map<String, Arrival> arrivalsByJobId = new HashMap<>();
  private final Map<TaskId, RunningTask> running = new LinkedHashMap<>();
  private final PriorityQueue<ScheduledEnd> scheduledEnds =
      new PriorityQueue<>(Comparator.comparingLong(ScheduledEnd::atMs));
  private final Set<String> startedTaskKeys = new HashSet<>();
  private final ReplayResult result = new ReplayResult();
  private int nextArrival;
  private long arrivedTasks;
  private long nowMs;

  Replay(CellScheduler scheduler, List<Arrival> arrivals) {
    this.scheduler = scheduler;
    this.arrivals = arrivals;
  }

  /**
   * Runs until every arrived task was started, but at most {@link #MAX_DRAIN_MS} past the last
   * arrival.
   */
  ReplayResult run() {
    workers.forEach(worker -> scheduler.workerAvailable(worker, nowMs));
    long endMs = arrivals.get(arrivals.size() - 1).atMs() + MAX_DRAIN_MS;
    boolean allStarted = false;
    while (nowMs < endMs && !allStarted) {
      tick();
      allStarted = nextArrival == arrivals.size() && startedTaskKeys.size() == arrivedTasks;
    }
    result.neverStartedTasks = arrivedTasks - startedTaskKeys.size();
    return result;
  }

  private void tick() {
    nowMs += TICK_MS;
    endTasks();
    submitArrivals();
    if (nowMs % REPORT_INTERVAL_MS == 0) {
      workers.forEach(this::reportUsage);
      sampleUtilization();
    }
    for (Decision decision : scheduler.decide(nowMs)) {
      result.decisions++;
      apply(decision);
    }
  }

  private void endTasks() {
    while (!scheduledEnds.isEmpty() && scheduledEnds.peek().atMs <= nowMs) {
      ScheduledEnd end = scheduledEnds.remove();
      RunningTask task = running.remove(end.task);
      if (task != null) {
        TaskEnd taskEnd = new TaskEnd(end.outcome, nowMs - task.startedMs);
        scheduler.taskEnded(end.task, taskEnd, nowMs);
      }
    }
  }

  private void submitArrivals() {
    while (nextArrival < arrivals.size() && arrivals.get(nextArrival).atMs() <= nowMs) {
      Arrival arrival = arrivals.get(nextArrival++);
      arrivalsByJobId.put(arrival.jobId(), arrival);
      List<TaskId> tasks = new ArrayList<>();
      for (int i = 0; i < arrival.spec().taskCount(); i++) {
        tasks.add(new TaskId(arrival.jobId(), i, 1));
      }
      arrivedTasks += tasks.size();
      scheduler.submit(arrival.jobId(), arrival.spec(), tasks, nowMs);
    }
  }

  private void apply(Decision decision) {
    if (decision instanceof Decision.Start start) {
      start(start);
    } else if (decision instanceof Decision.Preempt preempt) {
      result.preemptions++;
      RunningTask task = running.get(preempt.task());
      result.lostRunMs += task == null ? 0 : nowMs - task.startedMs;
      scheduledEnds.add(
          new ScheduledEnd(nowMs + PREEMPTION_STOP_MS, preempt.task(), TaskEnd.Outcome.STOPPED));
    } else if (decision instanceof Decision.Throttle) {
      result.throttles++;
    }
  }

  private void start(Decision.Start start) {
    TaskId task = start.task();
    Arrival arrival = requireNonNull(arrivalsByJobId.get(task.jobId()));
    running.put(task, new RunningTask(arrival, start.workerId(), nowMs));
    if (arrival.runMs() != Long.MAX_VALUE) {
      scheduledEnds.add(new ScheduledEnd(nowMs + arrival.runMs(), task, TaskEnd.Outcome.SUCCEEDED));
    }
    if (startedTaskKeys.add(task.jobId() + "/" + task.index())) {
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
      result.allAtOnceWaitMs.recordValue(waitMs);
    }
  }

  private void reportUsage(WorkerProfile worker) {
    ActualUsage current = actualUsage(worker, nowMs);
    boolean overloaded =
        current.cpuMillis > worker.capacity().cpuMillis()
            || current.memoryMb > worker.capacity().memoryMb();
    result.sampleOverload(overloaded);
    ActualUsage reported = actualUsage(worker, nowMs - REPORT_AGE_MS);
    UsageReport report =
        new UsageReport(
            (int) reported.cpuMillis, (int) reported.memoryMb, reported.connections, REPORT_AGE_MS);
    scheduler.usageReported(worker.workerId(), report, nowMs);
  }

  /** Returns the usage of the running tasks on a worker that were started by the given time. */
  private ActualUsage actualUsage(WorkerProfile worker, long startedByMs) {
    double cpuMillis = 0;
    double memoryMb = 0;
    int connections = 0;
    for (RunningTask task : running.values()) {
      if (task.workerId.equals(worker.workerId()) && task.startedMs <= startedByMs) {
        Resources demand = task.arrival.spec().demand();
        cpuMillis += demand.cpuMillis() * task.arrival.usageFactor();
        memoryMb += demand.memoryMb() * task.arrival.usageFactor();
        connections += demand.connections();
      }
    }
    return new ActualUsage(cpuMillis, memoryMb, connections);
  }

  private void sampleUtilization() {
    int usedSlots = 0;
    Set<String> activeWorkers = new HashSet<>();
    for (RunningTask task : running.values()) {
      usedSlots += task.arrival.spec().demand().slots();
      activeWorkers.add(task.workerId);
    }
    int totalSlots = workers.stream().mapToInt(worker -> worker.capacity().slots()).sum();
    result.sampleActiveWorkers(activeWorkers.size());
    if (startedTaskKeys.size() < arrivedTasks) {
      result.sampleSlotUtilization((double) usedSlots / totalSlots);
    }
  }
}
