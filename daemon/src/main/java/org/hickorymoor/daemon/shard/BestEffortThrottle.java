package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.daemon.port.TaskWorkerPort.ActiveRun;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.daemon.port.TaskWorkerPort.WorkerReply;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/**
 * Slows down the best-effort runs of one worker while tasks beside them miss their response time.
 *
 * <p>A request that was refused or not answered is repeated with the next report of the worker, so
 * that a worker without an answer gets one attempt per report. Not thread-safe; confined to the
 * event loop thread.
 */
final class BestEffortThrottle {

  /** Speed of a run as far as it is known. */
  static final class RunSpeed {

    /** Percentage that the worker has confirmed or reported, or {@link #UNKNOWN_PERCENT}. */
    private int percent;

    private boolean inFlight;
    private long answeredNs;

    /** Until when a request without an answer may still take effect, if there was one. */
    private long doubtUntilNs;

    private boolean doubted;

    /**
     * Creates the speed of a run.
     *
     * @param adopted whether an earlier coordinator has started the run and may have throttled it
     */
    RunSpeed(boolean adopted) {
      percent = adopted ? UNKNOWN_PERCENT : FULL_SPEED_PERCENT;
    }
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int FULL_SPEED_PERCENT = 100;
  private static final int UNKNOWN_PERCENT = -1;

  /**
   * Response time of a latency-sensitive task, as a share of its target, above which best-effort
   * runs beside it are slowed down.
   */
  private static final double THROTTLE_ABOVE_SHARE = 0.85;

  /**
   * Response time of a latency-sensitive task, as a share of its target, below which best-effort
   * runs are sped up again.
   */
  private static final double UNTHROTTLE_BELOW_SHARE = 0.6;

  private static final int SPEED_STEP_PERCENT = 20;

  /** A worker may execute a request up to ten seconds late, also after a later one. */
  private static final long LATE_EXECUTION_MS = 15_000;

  private final ShardEventLoop loop;
  private final TaskWorkerPort port;
  private final Supplier<WorkerDescriptor> worker;
  private final WorkerAllocation allocation;
  private final Map<String, Placement> placements;
  private final long fencingToken;
  private final long timeoutMs;
  private final Runnable onFenced;
  private int percent = FULL_SPEED_PERCENT;

  /**
   * Creates a throttle that requests nothing before the first report.
   *
   * @param worker supplies the latest descriptor of the worker
   * @param allocation the runs that are reserved on the worker
   * @param placements the runs on the worker by task; changes as they start and end
   * @param timeoutMs timeout of a request
   * @param onFenced called if the worker has seen a higher fencing token
   */
  BestEffortThrottle(
      ShardEventLoop loop,
      TaskWorkerPort port,
      Supplier<WorkerDescriptor> worker,
      WorkerAllocation allocation,
      Map<String, Placement> placements,
      long fencingToken,
      long timeoutMs,
      Runnable onFenced) {
    this.loop = loop;
    this.port = port;
    this.worker = worker;
    this.allocation = allocation;
    this.placements = placements;
    this.fencingToken = fencingToken;
    this.timeoutMs = timeoutMs;
    this.onFenced = onFenced;
  }

  /**
   * Adjusts the speed of the best-effort runs to the response times that the worker reports.
   *
   * @param rows the runs on the worker
   * @param sentNs when the report was requested
   */
  void onReport(List<ActiveRun> rows, long sentNs) {
    adoptReportedSpeeds(rows);
    detectLateExecutions(rows, sentNs);
    if (allocation.latencySensitiveRuns() == 0 || allocation.bestEffortRuns() == 0) {
      percent = FULL_SPEED_PERCENT;
    } else {
      adjust(worstLoadShare(rows));
    }
    placements.values().forEach(this::update);
  }

  /**
   * Takes the reported speed of runs whose speed is unknown for the requested one; the worker's
   * speed continues from the slowest of them, so that a takeover doesn't end a throttling at once.
   */
  private void adoptReportedSpeeds(List<ActiveRun> rows) {
    for (ActiveRun row : rows) {
      Placement placement = placements.get(row.task());
      if (placement != null
          && placement.run == row.run()
          && placement.adopted
          && placement.task.spec().bestEffort()
          && placement.speed.percent == UNKNOWN_PERCENT
          && !placement.speed.inFlight
          && row.percent() >= 0) {
        placement.speed.percent = row.percent();
        percent = Math.min(percent, row.percent());
      }
    }
  }

  /** Notices that an unanswered request has taken effect after a later one. */
  private void detectLateExecutions(List<ActiveRun> rows, long sentNs) {
    for (ActiveRun row : rows) {
      Placement placement = placements.get(row.task());
      if (placement == null || placement.run != row.run() || !placement.speed.doubted) {
        continue;
      }
      RunSpeed speed = placement.speed;
      speed.doubted = loop.nowNs() - speed.doubtUntilNs < 0;
      if (!speed.inFlight
          && speed.percent != UNKNOWN_PERCENT
          && row.percent() >= 0
          && sentNs - speed.answeredNs > 0) {
        speed.percent = row.percent();
      }
    }
  }

  private double worstLoadShare(List<ActiveRun> rows) {
    double worst = 0;
    for (ActiveRun row : rows) {
      Placement placement = placements.get(row.task());
      if (placement != null
          && placement.task.spec().responseTimeTargetMs() > 0
          && row.load() >= 0) {
        worst = Math.max(worst, (double) row.load() / placement.task.spec().responseTimeTargetMs());
      }
    }
    return worst;
  }

  private void adjust(double worstLoadShare) {
    if (worstLoadShare > 1) {
      percent = 0;
    } else if (worstLoadShare > THROTTLE_ABOVE_SHARE) {
      percent = percent / 2;
    } else if (worstLoadShare < UNTHROTTLE_BELOW_SHARE) {
      percent = Math.min(FULL_SPEED_PERCENT, percent + SPEED_STEP_PERCENT);
    }
  }

  /** Requests the speed of a run that has started, unless the worker has it already. */
  void update(Placement placement) {
    RunSpeed speed = placement.speed;
    int desiredPercent = allocation.latencySensitiveRuns() == 0 ? FULL_SPEED_PERCENT : percent;
    if (!placement.task.spec().bestEffort()
        || placement.startedNs == 0
        || speed.inFlight
        || speed.percent == desiredPercent) {
      return;
    }
    speed.inFlight = true;
    loop.then(
        port.throttle(
            worker.get(),
            placement.task.id().toString(),
            placement.run,
            desiredPercent,
            fencingToken,
            timeoutMs),
        (reply, failure) -> {
          speed.inFlight = false;
          speed.answeredNs = loop.nowNs();
          if (placements.get(placement.task.id().toString()) == placement) {
            onAnswered(placement, desiredPercent, reply, failure);
          }
        });
  }

  private void onAnswered(
      Placement placement,
      int desiredPercent,
      @Nullable WorkerReply reply,
      @Nullable PlatformException failure) {
    if (reply != null && reply.outcome() == Outcome.ACCEPTED) {
      placement.speed.percent = desiredPercent;
      // The response times may have changed meanwhile.
      update(placement);
      return;
    }
    if (reply != null && reply.outcome() == Outcome.FENCED) {
      onFenced.run();
      return;
    }
    if (failure != null && failure.mayHaveTakenEffect()) {
      placement.speed.percent = UNKNOWN_PERCENT;
      placement.speed.doubted = true;
      placement.speed.doubtUntilNs =
          loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(LATE_EXECUTION_MS);
    }
    logger.atFine().log(
        "worker: Setting the speed of %s to %d %% failed: %s.",
        placement.task.id(),
        desiredPercent,
        reply == null ? String.valueOf(failure) : reply.outcome());
  }
}
