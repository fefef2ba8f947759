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
  final Resources expected;

  /** When its end was told; 0 while it runs. */
  long endedMs;

  /** What it really takes; less processor time than declared while throttled. */
  Resources effective;

  /** Share of full speed that it is allowed. */
  int percent = FULL_SPEED_PERCENT;

  /** True once it has been throttled: its run time says nothing about its worker. */
  boolean everThrottled;

  /** Time until which its stop, decided in favour of other work, is awaited; 0 for none. */
  long preemptedUntilMs;

  RunningAttempt(
      TaskId task, QueuedJob job, WorkerLoad worker, Resources expected, long startedMs) {
    this.task = task;
    this.job = job;
    this.worker = worker;
    this.rack = worker.rack();
    this.expected = expected;
    this.startedMs = startedMs;
    this.effective = job.demand();
  }

  /** Tells whether it ends by itself at some time. */
  boolean drains() {
    return job.spec.kind() != JobKind.SERVICE;
  }

  boolean preempted(long nowMs) {
    return nowMs < preemptedUntilMs;
  }

  boolean throttleable(long nowMs) {
    return job.jobClass() == JobClass.BATCH && !preempted(nowMs) && percent == FULL_SPEED_PERCENT;
  }

  boolean preemptible(long nowMs) {
    return job.jobClass() == JobClass.BATCH && job.spec.repeatable() && !preempted(nowMs);
  }

  /** Returns what it takes at a share of full speed. */
  Resources effectiveAt(int speedPercent) {
    Resources declared = job.demand();
    return new Resources(
        declared.slots(),
        declared.connections(),
        declared.cpuMillis() * speedPercent / FULL_SPEED_PERCENT,
        declared.memoryMb(),
        declared.accelerators());
  }
}
