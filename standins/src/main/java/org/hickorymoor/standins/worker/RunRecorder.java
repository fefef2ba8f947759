package org.hickorymoor.standins.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.TaskOutcome;

/**
 * Collects the data of a {@link WorkerRecord}. Not thread-safe; guarded by the lock of {@link
 * WorkerState}.
 */
final class RunRecorder {

  private final WorkerClock clock;
  private final Resources capacity;
  private final List<WorkerRecord.Overload> overloads = new ArrayList<>();
  private final List<WorkerRecord.DoubleRun> doubleRuns = new ArrayList<>();
  private final List<WorkerRecord.Start> starts = new ArrayList<>();
  private final List<WorkerRecord.End> ended = new ArrayList<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private long lapsed;
  private long expired;

  RunRecorder(WorkerClock clock, Resources capacity) {
    this.clock = clock;
    this.capacity = capacity;
  }

  /** Records a start and the double run or overload that it causes beside {@code running}. */
  void recordStart(Run run, Collection<Run> running, long nowMs) {
    long hostMs = clock.toMachineMs(nowMs);
    String taskId = run.taskId();
    starts.add(new WorkerRecord.Start(run.runNumber(), taskId, nowMs, hostMs, run.demand()));
    runs.merge(TaskIds.jobIdOf(taskId), 1, Integer::sum);
    recordDoubleRun(run, running, nowMs);
    recordOverload(run, running, nowMs);
  }

  void recordEnd(Run run, TaskOutcome outcome, long endedMs) {
    if (outcome == TaskOutcome.LAPSED) {
      lapsed++;
    }
    ended.add(
        new WorkerRecord.End(
            run.runNumber(), run.taskId(), outcome, endedMs, clock.toMachineMs(endedMs)));
  }

  void recordExpiredCommand() {
    expired++;
  }

  WorkerRecord record() {
    return new WorkerRecord(overloads, doubleRuns, starts, ended, lapsed, expired, runs);
  }

  private void recordDoubleRun(Run run, Collection<Run> running, long nowMs) {
    String task = TaskIds.withoutAttempt(run.taskId());
    for (Run other : running) {
      if (task.equals(TaskIds.withoutAttempt(other.taskId()))) {
        doubleRuns.add(
            new WorkerRecord.DoubleRun(
                run.taskId(), other.taskId(), nowMs, clock.toMachineMs(nowMs)));
        return;
      }
    }
  }

  private void recordOverload(Run run, Collection<Run> running, long nowMs) {
    Resources used = run.demand();
    for (Run other : running) {
      used = used.plus(other.demand());
    }
    Resources demand = run.demand();
    List<String> exceeded = new ArrayList<>();
    addIfExceeded(exceeded, "slots", demand.slots(), used.slots(), capacity.slots());
    addIfExceeded(
        exceeded, "connections", demand.connections(), used.connections(), capacity.connections());
    addIfExceeded(
        exceeded, "cpuMillis", demand.cpuMillis(), used.cpuMillis(), capacity.cpuMillis());
    addIfExceeded(exceeded, "memoryMb", demand.memoryMb(), used.memoryMb(), capacity.memoryMb());
    addIfExceeded(
        exceeded,
        "accelerators",
        demand.accelerators(),
        used.accelerators(),
        capacity.accelerators());
    if (!exceeded.isEmpty()) {
      overloads.add(
          new WorkerRecord.Overload(
              run.taskId(), String.join(", ", exceeded), nowMs, clock.toMachineMs(nowMs)));
    }
  }

  private static void addIfExceeded(
      List<String> exceeded, String name, int demand, int used, int capacity) {
    if (demand > 0 && used > capacity) {
      exceeded.add(name + " " + used + " of " + capacity);
    }
  }
}
