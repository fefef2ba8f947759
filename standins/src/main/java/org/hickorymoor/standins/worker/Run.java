package org.hickorymoor.standins.worker;

import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.RunningTask;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.TaskOutcome;
import org.jspecify.annotations.Nullable;

/** One run of a task. Not thread-safe; guarded by the lock of {@link WorkerState}. */
final class Run {

  static final int FULL_PERCENT = 100;
  static final long NEVER_MS = Long.MAX_VALUE;

  private static final int EXIT_STOPPED = 143;

  private final long runNumber;
  private final StartCommand command;
  private final Payload payload;
  private final long startedMs;
  private final UsageHistory usage = new UsageHistory();
  private long leaseUntilMs;
  private int throttlePercent = FULL_PERCENT;
  private int drainPercent;
  private final boolean runsUntilStopped;
  private double remainingWorkMs;
  private long remainingWorkAtMs;

  Run(
      long runNumber,
      StartCommand command,
      Payload payload,
      long workMs,
      long nowMs,
      int drainPercent) {
    this.runNumber = runNumber;
    this.command = command;
    this.payload = payload;
    this.startedMs = nowMs;
    this.leaseUntilMs = nowMs + command.leaseMs();
    this.drainPercent = drainPercent;
    this.runsUntilStopped = workMs < 0;
    this.remainingWorkMs = workMs;
    this.remainingWorkAtMs = nowMs;
  }

  long runNumber() {
    return runNumber;
  }

  String taskId() {
    return command.taskId();
  }

  Resources demand() {
    return command.demand();
  }

  void renew(long nowMs, long leaseMs) {
    leaseUntilMs = nowMs + leaseMs;
  }

  void throttle(long nowMs, int percent) {
    advance(nowMs);
    throttlePercent = percent;
  }

  void setDrainPercent(long nowMs, int percent) {
    advance(nowMs);
    drainPercent = percent;
  }

  Checkpoint checkpoint(long nowMs) {
    advance(nowMs);
    return new Checkpoint(runsUntilStopped ? -1 : Math.round(remainingWorkMs));
  }

  /** Returns when the run ends unless its lease or speed changes. */
  long endMs() {
    return Math.min(finishMs(), leaseUntilMs);
  }

  /** Returns how the run ends at {@link #endMs}. */
  TaskOutcome endOutcome() {
    if (leaseUntilMs < finishMs()) {
      return TaskOutcome.LAPSED;
    }
    return payload.exitCode() == 0 ? TaskOutcome.SUCCEEDED : TaskOutcome.FAILED;
  }

  int actualCpuMillis(WorkerFaults faults) {
    Integer own = payload.cpuMillis();
    long full = own == null ? command.demand().cpuMillis() : own;
    return (int) (full * faults.cpuPercent() / FULL_PERCENT * throttlePercent / FULL_PERCENT);
  }

  int actualMemoryMb(WorkerFaults faults) {
    Integer own = payload.memoryMb();
    long full = own == null ? command.demand().memoryMb() : own;
    return (int) (full * faults.memoryPercent() / FULL_PERCENT);
  }

  void recordUsage(long nowMs, WorkerFaults faults, long usageReportAtMs) {
    int connections = command.demand().connections();
    usage.set(nowMs, actualCpuMillis(faults), actualMemoryMb(faults), connections, usageReportAtMs);
  }

  RunningTask toRunningTask(boolean withLabels, long usageAtMs) {
    return new RunningTask(
        command.taskId(),
        labels(withLabels),
        command.demand(),
        startedMs,
        leaseUntilMs,
        throttlePercent,
        usage.at(usageAtMs));
  }

  EndedRun toEndedRun(TaskOutcome outcome, long endedMs) {
    boolean finished = outcome == TaskOutcome.SUCCEEDED || outcome == TaskOutcome.FAILED;
    String output = payload.output();
    return new EndedRun(
        command.taskId(),
        command.labels(),
        outcome,
        finished ? payload.exitCode() : EXIT_STOPPED,
        finished && output != null ? output : "",
        endedMs - startedMs);
  }

  private @Nullable Map<String, String> labels(boolean withLabels) {
    return withLabels ? command.labels() : null;
  }

  private long finishMs() {
    double speed = speed();
    if (remainingWorkMs <= 0 && !runsUntilStopped) {
      return remainingWorkAtMs;
    }
    if (runsUntilStopped || speed <= 0) {
      return NEVER_MS;
    }
    return remainingWorkAtMs + (long) Math.ceil(remainingWorkMs / speed);
  }

  private void advance(long nowMs) {
    if (!runsUntilStopped) {
      remainingWorkMs = Math.max(0, remainingWorkMs - (nowMs - remainingWorkAtMs) * speed());
    }
    remainingWorkAtMs = nowMs;
  }

  private double speed() {
    return (double) throttlePercent * drainPercent / (FULL_PERCENT * FULL_PERCENT);
  }

  /** An ended run that has not been acknowledged. */
  record EndedRun(
      String taskId,
      Map<String, String> labels,
      TaskOutcome outcome,
      int exitCode,
      String output,
      long ranMs) {

    EndedTask toEndedTask(boolean withLabels) {
      return new EndedTask(taskId, withLabels ? labels : null, outcome, exitCode, output, ranMs);
    }
  }
}
