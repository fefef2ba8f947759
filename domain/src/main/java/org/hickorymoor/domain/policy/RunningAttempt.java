package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.TaskId;

/** An attempt that is allocated on a worker, from the start decision to the report of its end. */
final class RunningAttempt {

  static final int FULL_SPEED_PERCENT = 100;

  final TaskId task;
  final QueuedJob job;
  final WorkerLoad worker;
  final String rack;
  final long startedMs;

  /** Demand expected from learned usage; never less than declared. */
  final Resources expectedDemand;

  /** Time at which its end was reported; 0 while it is running. */
  long endedMs;

  /** Declared demand, with less processor time while throttled. */
  Resources effectiveDemand;

  /** Allowed speed, in percent of full speed. */
  int speedPercent = FULL_SPEED_PERCENT;

  /** True once it has been throttled; its run time and usage are then not learned from. */
  boolean everThrottled;

  /** Time until which its preemption is considered pending; 0 if it was not preempted. */
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

  /** Returns whether the attempt ends on its own, unlike that of a service. */
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

  /** Returns the declared demand with the processor time scaled to a percentage of full speed. */
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
