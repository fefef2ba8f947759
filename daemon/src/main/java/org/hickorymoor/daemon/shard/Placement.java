package org.hickorymoor.daemon.shard;

import java.util.concurrent.TimeUnit;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.WorkerAllocation;

/**
 * A run that is or may be on a worker, with the state of its requests, which the worker's session
 * keeps. Not thread-safe; confined to the event loop thread.
 */
final class Placement {

  /** A run that its worker has survived for this long is not suspected of crashing it. */
  static final long STARTUP_MS = 500;

  /** A crash within this time of the start is rarely a coincidence. */
  static final long IMMEDIATE_CRASH_MS = 100;

  final TaskProgress task;
  final int run;
  final WorkerAllocation allocation;
  long acknowledgedNs = Long.MAX_VALUE;
  boolean acknowledged;
  boolean startSent;
  boolean unanswered;

  long startSentNs;

  /** Whether the worker has answered right before the start request was sent, and not after. */
  boolean silentSinceStart;

  boolean stopping;
  boolean stopAcknowledged;
  long stopSentNs;
  long unansweredSinceNs;
  long startedNs;

  /** Whether an earlier coordinator sent the start request, so that its time is unknown. */
  final boolean adopted;

  final BestEffortThrottle.RunSpeed speed;

  /** Whether the start request can't have reached an incarnation that no report has come from. */
  boolean incarnationKnown;

  Placement(TaskProgress task, int run, WorkerAllocation allocation, boolean adopted) {
    this.task = task;
    this.run = run;
    this.allocation = allocation;
    this.adopted = adopted;
    this.speed = new BestEffortThrottle.RunSpeed(adopted);
  }

  TaskProgress task() {
    return task;
  }

  int run() {
    return run;
  }

  WorkerAllocation allocation() {
    return allocation;
  }

  /** Returns when the worker accepted the run, or 0 if that is unknown. */
  long startedNs() {
    return startedNs;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Returns whether the run should end within some time, by the estimate of its job. */
  boolean isExpectedToEndWithin(long ms, long nowNs) {
    if (startedNs == 0 || task.spec().longRunning() || task.spec().estimatedMs() <= 0) {
      return false;
    }
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNs - startedNs);
    return task.spec().estimatedMs() - elapsedMs <= ms;
  }

  /** Returns whether the start of the run was sent, and the worker may not have survived it yet. */
  boolean isStarting(long nowNs) {
    return startSent
        && (startedNs == 0 || nowNs - startedNs <= TimeUnit.MILLISECONDS.toNanos(STARTUP_MS));
  }
}
