package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.hickorymoor.domain.workload.RoomForecast;
import org.hickorymoor.domain.workload.RunTimes;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.Urgency.Timeliness;
import org.hickorymoor.domain.workload.UrgentHeadroom;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a worker free for a wide task that finds no room because small tasks take what comes free.
 *
 * <p>Each service has one reservation at a time, for the step that has waited longest. Steps of the
 * same or a lower priority don't start on its worker meanwhile. Not thread-safe; confined to the
 * event loop thread.
 */
final class WideTaskReservations {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time that a step waits before it may get a reservation. */
  private static final long MIN_WAIT_MS = 2_000;

  /** Limit of the room that is kept unused, also if the expected run times are wrong. */
  private static final long MAX_RESERVATION_MS = 5_000;

  /** Time between two attempts to reserve for one step, during which others have their turn. */
  private static final long PAUSE_MS = 1_000;

  /**
   * Steps for which a pass looks for a worker. Each costs a forecast of every eligible worker;
   * without a bound, thousands of waiting steps would hold up the event loop.
   */
  private static final int MAX_CANDIDATES = 16;

  /** Covers the longest pause between two passes; a step that was in none of them is forgotten. */
  private static final long FORGOTTEN_AFTER_MS = 2_000;

  /**
   * Share of a worker from which a task is wide. A smaller one gets room whenever a few runs end,
   * so that a reservation would only take room from others.
   */
  private static final double WIDE_SHARE = 0.25;

  /** A step of which a task fitted no worker in its latest pass. */
  private static final class Waiting {
    private final long sinceNs;
    private long seenNs;
    private long pausedUntilNs;
    private ReadyStep next;
    private TaskProgress task;
    private List<WorkerSession> eligible;

    Waiting(ReadyStep next, TaskProgress task, List<WorkerSession> eligible, long nowNs) {
      this.next = next;
      this.task = task;
      this.eligible = eligible;
      this.sinceNs = nowNs;
      this.seenNs = nowNs;
      this.pausedUntilNs = nowNs;
    }

    private int priority() {
      return next.job().submission().policy().priority();
    }

    private String service() {
      return next.job().submission().policy().service();
    }
  }

  private record Reservation(Waiting holder, WorkerSession worker, long untilNs) {}

  private final ShardEventLoop loop;
  private final Function<String, @Nullable ScheduledJob> jobs;
  private final RunTimes runTimes;
  private final Map<StepProgress, Waiting> waiting = new IdentityHashMap<>();
  private final Map<String, Reservation> byService = new HashMap<>();

  /**
   * Creates a set without reservations.
   *
   * @param jobs returns the job of an ID, or null
   * @param runTimes expected run times, which show where room comes free first
   */
  WideTaskReservations(
      ShardEventLoop loop, Function<String, @Nullable ScheduledJob> jobs, RunTimes runTimes) {
    this.loop = loop;
    this.jobs = jobs;
    this.runTimes = runTimes;
  }

  /** Ends reservations that have expired and makes new ones for the pass that begins. */
  void beginPass() {
    long nowNs = loop.nowNs();
    waiting.values().removeIf(step -> hasElapsed(step.seenNs, FORGOTTEN_AFTER_MS));
    byService.values().removeIf(this::hasEnded);
    waiting.values().stream()
        .filter(
            step ->
                hasElapsed(step.sinceNs, MIN_WAIT_MS)
                    && nowNs - step.pausedUntilNs >= 0
                    && !byService.containsKey(step.service()))
        .sorted(
            Comparator.comparing(
                    (Waiting step) -> step.next.urgency().timeliness() == Timeliness.TOO_LATE)
                .thenComparingLong(step -> step.sinceNs))
        .limit(MAX_CANDIDATES)
        .forEach(this::reserve);
  }

  private boolean hasElapsed(long sinceNs, long ms) {
    return loop.nowNs() - sinceNs >= TimeUnit.MILLISECONDS.toNanos(ms);
  }

  private boolean hasEnded(Reservation reservation) {
    Waiting holder = reservation.holder();
    boolean ended =
        loop.nowNs() - reservation.untilNs() >= 0
            || waiting.get(holder.next.step()) != holder
            || !reservation.worker().isSchedulable();
    if (ended) {
      pause(holder);
    }
    return ended;
  }

  private void pause(Waiting step) {
    step.pausedUntilNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
  }

  private void reserve(Waiting step) {
    if (byService.containsKey(step.service())) {
      return;
    }
    WorkerSession best = null;
    long bestMs = RoomForecast.NEVER_MS;
    for (WorkerSession worker : step.eligible) {
      long untilMs = worker.isSchedulable() ? msUntilFits(step, worker) : RoomForecast.NEVER_MS;
      if (untilMs < bestMs) {
        best = worker;
        bestMs = untilMs;
      }
    }
    if (best == null || bestMs > MAX_RESERVATION_MS) {
      // Room kept free for longer than the reservation lasts would serve nobody. The pause gives
      // other steps their turn as candidates.
      pause(step);
      return;
    }
    byService.put(
        step.service(),
        new Reservation(
            step, best, loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(MAX_RESERVATION_MS)));
    logger.atInfo().log(
        "reservation: %s for %s, which has waited %d ms; room expected in %d ms.",
        best.allocation().descriptor().id(),
        step.next.step().name(),
        TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - step.sinceNs),
        bestMs);
  }

  private long msUntilFits(Waiting step, WorkerSession worker) {
    WorkerAllocation allocation = worker.allocation();
    StepSpec spec = step.task.spec();
    if (!allocation.fitsEmpty(spec) || allocation.dominantShare(spec) < WIDE_SHARE) {
      return RoomForecast.NEVER_MS;
    }
    List<RoomForecast.Run> runs =
        worker.placements().stream()
            .map(run -> new RoomForecast.Run(run.task().spec(), remainingMs(run)))
            .toList();
    int keepFree =
        spec.longRunning() ? 0 : UrgentHeadroom.keepFreeOnceFree(step.priority(), spec, allocation);
    long untilMs = RoomForecast.msUntilFits(allocation, spec, keepFree, runs);
    // Where there is room already, something else keeps the task away, such as its limit per
    // worker.
    return untilMs == 0 && !allocation.fits(step.task, keepFree) ? RoomForecast.NEVER_MS : untilMs;
  }

  private long remainingMs(Placement run) {
    ScheduledJob job = jobs.apply(run.task().id().jobId());
    if (job == null || run.task().spec().longRunning()) {
      return RoomForecast.NEVER_MS;
    }
    long expectedMs = runTimes.expectedMs(job.submission(), run.task().id().step());
    long elapsedMs =
        run.startedNs() == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - run.startedNs());
    // A run beyond its expected end lasts about half as long again as it has taken.
    return elapsedMs < expectedMs ? expectedMs - elapsedMs : elapsedMs / 2;
  }

  /** Notes that a task of a step fitted no worker in this pass. */
  void onUnplaced(ReadyStep next, TaskProgress task, List<WorkerSession> eligible) {
    if (next.step().spec().gang() || task.suspectedCrashes() > 0) {
      // One worker doesn't let a gang start, and suspected tasks have holds of their own.
      return;
    }
    Waiting step =
        waiting.computeIfAbsent(
            next.step(), key -> new Waiting(next, task, eligible, loop.nowNs()));
    step.seenNs = loop.nowNs();
    step.next = next;
    step.task = task;
    step.eligible = eligible;
  }

  /** Notes that a task of a step was placed; a reservation of the step ends. */
  void onPlaced(StepProgress step) {
    Waiting placed = waiting.remove(step);
    if (placed != null) {
      byService.values().removeIf(reservation -> reservation.holder() == placed);
    }
  }

  /** Returns whether a step may start on a worker. */
  boolean permits(ReadyStep next, WorkerSession worker) {
    Reservation reservation = byService.get(next.job().submission().policy().service());
    return reservation == null
        || reservation.worker() != worker
        || reservation.holder().next.step() == next.step()
        || next.job().submission().policy().priority() < reservation.holder().priority();
  }
}
