package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.TaskId;

/** An attempt that counts as in use on a worker, from its decided start to its told end. */
final class RunningAttempt {

  static final int FULL_SPEED_PERCENT = 100;

  final TaskId task;
  final QueuedJob job;
  final WorkerLoad worker;
  final long startedMs;

  /** What it counts for on its worker; less processor time than declared while throttled. */
  Resources counted;

  /** Share of full speed that it is allowed. */
  int percent = FULL_SPEED_PERCENT;

  /** True once its stop has been decided in favour of other work. */
  boolean preempted;

  RunningAttempt(TaskId task, QueuedJob job, WorkerLoad worker, long startedMs) {
    this.task = task;
    this.job = job;
    this.worker = worker;
    this.startedMs = startedMs;
    this.counted = job.demand();
  }
}
