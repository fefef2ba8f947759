package org.hickorymoor.standins.worker;

import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.EndOutcome;
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.RunningTask;
import org.hickorymoor.protocol.platform.StartCommand;
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
  private final boolean endless;
  private double workLeftMs;
  private long workLeftAtMs;

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
    this.endless = workMs < 0;
    this.workLeftMs = workMs;
    this.workLeftAtMs = nowMs;
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

  void drainAt(long nowMs, int percent) {
    advance(nowMs);
    drainPercent = percent;
  }

  Checkpoint checkpoint(long nowMs) {
    advance(nowMs);
    return new Checkpoint(endless ? -1 : Math.round(workLeftMs));
  }

  /** Returns when the run ends if nothing changes. */
  long endMs() {
    return Math.min(finishMs(), leaseUntilMs);
  }

  /** Returns how the run ends at {@link #endMs}. */
  EndOutcome endOutcome() {
    if (leaseUntilMs < finishMs()) {
      return EndOutcome.LAPSED;
    }
    return payload.exitCode() == 0 ? EndOutcome.SUCCEEDED : EndOutcome.FAILED;
  }

  int trueCpuMillis(WorkerNoise noise) {
    Integer own = payload.cpuMillis();
    long full = own == null ? command.demand().cpuMillis() : own;
    return (int) (full * noise.cpuPercent() / FULL_PERCENT * throttlePercent / FULL_PERCENT);
  }

  int trueMemoryMb(WorkerNoise noise) {
    Integer own = payload.memoryMb();
    long full = own == null ? command.demand().memoryMb() : own;
    return (int) (full * noise.memoryPercent() / FULL_PERCENT);
  }

  void recordUsage(long nowMs, WorkerNoise noise, long reportAtMs) {
    int connections = command.demand().connections();
    usage.set(nowMs, trueCpuMillis(noise), trueMemoryMb(noise), connections, reportAtMs);
  }

  RunningTask listed(boolean withLabels, long usageAtMs) {
    return new RunningTask(
        command.taskId(),
        labels(withLabels),
        command.demand(),
        startedMs,
        leaseUntilMs,
        throttlePercent,
        usage.at(usageAtMs));
  }

  Ended ended(EndOutcome outcome, long endedMs) {
    boolean finished = outcome == EndOutcome.SUCCEEDED || outcome == EndOutcome.FAILED;
    String output = payload.output();
    return new Ended(
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
    if (workLeftMs <= 0 && !endless) {
      return workLeftAtMs;
    }
    if (endless || speed <= 0) {
      return NEVER_MS;
    }
    return workLeftAtMs + (long) Math.ceil(workLeftMs / speed);
  }

  private void advance(long nowMs) {
    if (!endless) {
      workLeftMs = Math.max(0, workLeftMs - (nowMs - workLeftAtMs) * speed());
    }
    workLeftAtMs = nowMs;
  }

  private double speed() {
    return (double) throttlePercent * drainPercent / (FULL_PERCENT * FULL_PERCENT);
  }

  /** An ended run that waits to be acknowledged. */
  record Ended(
      String taskId,
      Map<String, String> labels,
      EndOutcome outcome,
      int exitCode,
      String output,
      long ranMs) {

    EndedTask listed(boolean withLabels) {
      return new EndedTask(taskId, withLabels ? labels : null, outcome, exitCode, output, ranMs);
    }
  }
}
