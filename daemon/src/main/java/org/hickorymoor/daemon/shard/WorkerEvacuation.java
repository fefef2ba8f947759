package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hickorymoor.domain.workload.TaskProgress;

/**
 * Stops the runs on a worker that is taken away at short notice, so that they start elsewhere
 * without waiting for their lease; first those that can't end in time, at last all. Not
 * thread-safe; confined to the event loop thread.
 */
final class WorkerEvacuation {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time before a worker is taken away at which its last runs are stopped; covers a slow stop and
   * the age of the announcement.
   */
  private static final long STOP_MS = 1_000;

  private final ShardEventLoop loop;
  private final Map<String, Placement> placements;
  private final BooleanSupplier isDraining;
  private final Placement.RemainingTimes remainingTimes;
  private final Consumer<TaskProgress> stop;

  /**
   * Creates an evacuation that stops nothing before {@link #begin}.
   *
   * @param placements the runs on the worker by task; changes as they start and end
   * @param isDraining whether the worker is still to be taken away
   * @param remainingTimes predicts which runs end in time
   * @param stop stops the run of a task
   */
  WorkerEvacuation(
      ShardEventLoop loop,
      Map<String, Placement> placements,
      BooleanSupplier isDraining,
      Placement.RemainingTimes remainingTimes,
      Consumer<TaskProgress> stop) {
    this.loop = loop;
    this.placements = placements;
    this.isDraining = isDraining;
    this.remainingTimes = remainingTimes;
    this.stop = stop;
  }

  /** Begins to stop the runs of a worker that is taken away after some time. */
  void begin(String workerId, long remainingMs) {
    logger.atInfo().log(
        "worker: %s is taken away in %d ms, %d runs there.",
        workerId, remainingMs, placements.size());
    long lastStopMs = Math.max(0, remainingMs - STOP_MS);
    stopRuns(
        placement -> !placement.isExpectedToEndWithin(lastStopMs, loop.nowNs(), remainingTimes));
    loop.schedule(
        lastStopMs,
        () -> {
          if (isDraining.getAsBoolean()) {
            stopRuns(placement -> true);
          }
        });
  }

  private void stopRuns(Predicate<Placement> condition) {
    List.copyOf(placements.values()).stream()
        .filter(condition)
        .forEach(placement -> stop.accept(placement.task));
  }
}
