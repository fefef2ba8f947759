package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.TaskId;

/** An attempt that counts as in use on a worker, from its decided start to its told end. */
final class RunningAttempt {

  static final int FULL_SPEED_PERCENT = 100;

  final TaskId task;
  final QueuedJob job;
  final WorkerLoad worker;
  final String rack;
  final long startedMs;

  /** What is expected of it after what was learned; never less than declared. */
  final Resources expectedDemand;

  /** When its end was told; 0 while it runs. */
  long endedMs;

  /** What it really takes; less processor time than declared while throttled. */
  Resources effectiveDemand;

  /** Share of full speed that it is allowed. */
  int speedPercent = FULL_SPEED_PERCENT;

  /** True once it has been throttled: its run time says nothing about its worker. */
  boolean everThrottled;

  /** Time until which its stop, decided in favour of other work, is awaited; 0 for none. */
  long stopPendingUntilMs;

  RunningAttempt(
      TaskId task, QueuedJob job, WorkerLoad worker, Resources expectedDemand, long startedMs) {
    this.task = task;
    this.job = job;
    this.worker = worker;
    this.rack = worker.rack();
    this.expectedDemand = expectedDemand;
    this.startedMs = startedMs;
    this.effectiveDemand = job.demand();
  }

  /** Tells whether it ends by itself at some time. */
  boolean runsToCompletion() {
    return job.spec.kind() != JobKind.SERVICE;
  }

  boolean stopPending(long nowMs) {
    return nowMs < stopPendingUntilMs;
  }

  boolean throttlable(long nowMs) {
    return job.jobClass() == JobClass.BATCH
        && !stopPending(nowMs)
        && speedPercent == FULL_SPEED_PERCENT;
  }

  boolean preemptible(long nowMs) {
    return job.jobClass() == JobClass.BATCH && job.spec.repeatable() && !stopPending(nowMs);
  }

  /** Returns what it takes at a share of full speed. */
  Resources demandAtSpeed(int percent) {
    Resources declared = job.demand();
    return new Resources(
        declared.slots(),
        declared.connections(),
        declared.cpuMillis() * percent / FULL_SPEED_PERCENT,
        declared.memoryMb(),
        declared.accelerators());
  }
}
