package org.hickorymoor.daemon.shard;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.WorkerAllocation;

/**
 * A run that is or may be on a worker, with the state of its requests, which the worker's session
 * keeps. Not thread-safe; confined to the event loop thread.
 */
final class Placement {

  /** Predicts when runs end. */
  @FunctionalInterface
  interface RemainingTimes {

    /** Returns the time within which a run will end, in milliseconds; empty if it is unknown. */
    OptionalLong remainingMs(Placement placement, long elapsedMs);
  }

  /** Usual time between two reports of a worker, while the ends in the first one are stored. */
  private static final long USUAL_REPORT_GAP_MS = 100;

  /** A run that its worker has survived for this long is not suspected of crashing it. */
  static final long STARTUP_MS = 500;

  /** A crash within this time of the start is rarely a coincidence. */
  static final long IMMEDIATE_CRASH_MS = 100;

  final TaskProgress task;
  final int run;
  final WorkerAllocation allocation;

  /** Whether the run starts from a checkpoint of an earlier one. */
  final boolean resumed;

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

  /** Whether the run may have ended well before its end was reported. */
  boolean endNoticedLate;

  /** Whether an earlier coordinator sent the start request, so that its time is unknown. */
  final boolean adopted;

  final BestEffortThrottle.RunSpeed speed;

  /** Whether the start request can't have reached an incarnation that no report has come from. */
  boolean incarnationKnown;

  Placement(TaskProgress task, int run, WorkerAllocation allocation, boolean adopted) {
    this.task = task;
    this.run = run;
    this.allocation = allocation;
    this.resumed = !task.checkpoint().isEmpty();
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

  /**
   * Notes whether no report was requested for some time before the one that shows the end.
   *
   * @param requestedNs when the report with the end was requested
   * @param previousNs when the report before was received
   */
  void recordEndReport(long requestedNs, long previousNs) {
    long sinceNs = previousNs - startSentNs > 0 ? previousNs : startSentNs;
    endNoticedLate = requestedNs - sinceNs > TimeUnit.MILLISECONDS.toNanos(USUAL_REPORT_GAP_MS);
  }

  /** Returns whether the run should end within some time. */
  boolean isExpectedToEndWithin(long ms, long nowNs, RemainingTimes remainingTimes) {
    if (startedNs == 0 || task.spec().longRunning()) {
      return false;
    }
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNs - startedNs);
    OptionalLong remainingMs = remainingTimes.remainingMs(this, elapsedMs);
    return remainingMs.isPresent() && remainingMs.getAsLong() <= ms;
  }

  /** Returns whether the start of the run was sent, and the worker may not have survived it yet. */
  boolean isStarting(long nowNs) {
    return startSent
        && (startedNs == 0 || nowNs - startedNs <= TimeUnit.MILLISECONDS.toNanos(STARTUP_MS));
  }
}
