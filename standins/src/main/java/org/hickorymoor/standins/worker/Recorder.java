package org.hickorymoor.standins.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.EndOutcome;

/** Writes down what a test wants to know. Not thread-safe; guarded by {@link WorkerState}. */
final class Recorder {

  private final WorkerClock clock;
  private final Resources capacity;
  private final List<WorkerRecord.Overload> overloads = new ArrayList<>();
  private final List<WorkerRecord.DoubleRun> doubleRuns = new ArrayList<>();
  private final List<WorkerRecord.Start> starts = new ArrayList<>();
  private final List<WorkerRecord.End> ended = new ArrayList<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private long lapsed;
  private long expired;

  Recorder(WorkerClock clock, Resources capacity) {
    this.clock = clock;
    this.capacity = capacity;
  }

  /** Notes a start, given what runs already. */
  void started(Run run, Collection<Run> running, long nowMs) {
    long hostMs = clock.toMachineMs(nowMs);
    String taskId = run.taskId();
    starts.add(new WorkerRecord.Start(run.runNumber(), taskId, nowMs, hostMs, run.demand()));
    runs.merge(TaskNames.jobOf(taskId), 1, Integer::sum);
    noteDoubleRun(run, running, nowMs);
    noteOverload(run, running, nowMs);
  }

  void ended(Run run, EndOutcome outcome, long endedMs) {
    if (outcome == EndOutcome.LAPSED) {
      lapsed++;
    }
    ended.add(
        new WorkerRecord.End(
            run.runNumber(), run.taskId(), outcome, endedMs, clock.toMachineMs(endedMs)));
  }

  void expired() {
    expired++;
  }

  WorkerRecord record() {
    return new WorkerRecord(overloads, doubleRuns, starts, ended, lapsed, expired, runs);
  }

  private void noteDoubleRun(Run run, Collection<Run> running, long nowMs) {
    String task = TaskNames.withoutAttempt(run.taskId());
    for (Run other : running) {
      if (task.equals(TaskNames.withoutAttempt(other.taskId()))) {
        doubleRuns.add(
            new WorkerRecord.DoubleRun(
                run.taskId(), other.taskId(), nowMs, clock.toMachineMs(nowMs)));
        return;
      }
    }
  }

  private void noteOverload(Run run, Collection<Run> running, long nowMs) {
    Resources used = run.demand();
    for (Run other : running) {
      used = used.plus(other.demand());
    }
    Resources demand = run.demand();
    List<String> exceeded = new ArrayList<>();
    noteExceeded(exceeded, "slots", demand.slots(), used.slots(), capacity.slots());
    noteExceeded(
        exceeded, "connections", demand.connections(), used.connections(), capacity.connections());
    noteExceeded(exceeded, "cpuMillis", demand.cpuMillis(), used.cpuMillis(), capacity.cpuMillis());
    noteExceeded(exceeded, "memoryMb", demand.memoryMb(), used.memoryMb(), capacity.memoryMb());
    noteExceeded(
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

  private static void noteExceeded(
      List<String> exceeded, String name, int demand, int used, int held) {
    if (demand > 0 && used > held) {
      exceeded.add(name + " " + used + " of " + held);
    }
  }
}
