package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.daemon.port.TaskWorkerPort.EndedRun;
import org.hickorymoor.daemon.port.TaskWorkerPort.WorkerReply;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.daemon.port.TaskWorkerPort.Report;
import org.hickorymoor.daemon.port.TaskWorkerPort.ActiveRun;
import org.hickorymoor.daemon.port.TaskWorkerPort.StartRequest;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.jspecify.annotations.Nullable;

/**
 * Renews the leases on one worker, watches what runs there and gives it orders.
 *
 * <p>A run is taken for gone only when the worker says so in a report that was asked for after its
 * order was settled, when the worker has begun a new life, or when its lease must have ended.
 * Belongs to the thread of the loop.
 */
final class WorkerSession {

  /** Told what happens on the worker. */
  interface Listener {

    /** A worker follows a coordinator with a higher token. */
    void onFenced(String workerId);

    /** The worker has accepted a run, or is seen to run it. */
    void onStarted(Placement placement);

    /** A run certainly did not start. */
    void onNotStarted(Placement placement, Outcome outcome);

    /** A run has ended; the worker keeps the end until {@link #afterStored} has run. */
    void onEnded(Placement placement, TerminationReason how, String checkpoint);

    /** A run is gone without a known end. */
    void onGone(Placement placement, String reason);

    /** Runs a task once what was reported so far is stored. */
    void afterStored(Runnable task);

    /** The worker can take work again. */
    void onUsable();

    /** Returns until when leases may be renewed, as nanoseconds of the loop. */
    long authorityEndsNs();
  }

  /** A run that is, or may be, on the worker. */
  static final class Placement {
    private final TaskProgress slot;
    private final int run;
    private final WorkerAllocation room;
    private long settledNs = Long.MAX_VALUE;
    private boolean settled;
    private boolean uncertain;
    private boolean stopping;
    private boolean stopSettled;
    private long stopSentNs;
    private long uncertainSinceNs;
    private long startedNs;
    private int wantedPercent = FULL_SPEED;
    private int askedPercent = FULL_SPEED;

    Placement(TaskProgress slot, int run, WorkerAllocation room) {
      this.slot = slot;
      this.run = run;
      this.room = room;
    }

    TaskProgress slot() {
      return slot;
    }

    int run() {
      return run;
    }

    WorkerAllocation room() {
      return room;
    }

    /** Returns when the worker accepted the run; 0 if that isn't known. */
    long startedNs() {
      return startedNs;
    }

    boolean isStopping() {
      return stopping;
    }
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int FULL_SPEED = 100;

  /** A report is held back this long, so that quiet workers cost one call a second. */
  private static final long REPORT_WAIT_MS = 1_000;

  /** Two slow links, and a worker that is busy. */
  private static final long ORDER_TIMEOUT_MS = 700;

  /** Wait after a failed call, times the number of failures up to a limit. */
  private static final long RETRY_MS = 150;

  private static final int MAX_RETRY_FACTOR = 5;

  /** A stop takes effect within 200 ms where the worker is well, then it is sent again. */
  private static final long STOP_AGAIN_MS = 600;

  /** Reports are asked for at this pace while ends can't be stored. */
  private static final long RENEW_MS = 1_000;

  /** Share of a target above which work beside it is slowed down. */
  private static final double SLOW_DOWN_ABOVE = 0.85;

  /** Share of a target below which work beside it is sped up again. */
  private static final double SPEED_UP_BELOW = 0.6;

  private static final int SPEED_STEP = 20;

  private final ShardEventLoop loop;
  private final TaskWorkerPort port;
  private final Listener listener;
  private final long fence;
  private final long leaseMs;
  private final WorkerAllocation room;
  private final Map<String, Placement> placements = new HashMap<>();
  private WorkerDescriptor facts;
  private boolean listed = true;
  private boolean synced;
  private boolean closed;
  private boolean reportInFlight;
  private boolean awaitsStore;

  /**
   * Whether the worker's present life was seen so lately that the numbers of its ends are its own.
   * A number of a former life would make it forget ends that nobody has stored.
   */
  private boolean lifeIsKnown;

  private int failures;
  private long bornMs = -1;
  private long clockMs;
  private long clockAtNs;
  private long leaseEndsNs;
  private long lastNumber;
  private long seenUpTo;
  private int fillerPercent = FULL_SPEED;

  WorkerSession(
      ShardEventLoop loop,
      TaskWorkerPort port,
      Listener listener,
      WorkerDescriptor facts,
      long fence,
      long leaseMs,
      long firstLeaseEndsNs) {
    this.loop = loop;
    this.port = port;
    this.listener = listener;
    this.facts = facts;
    this.fence = fence;
    this.leaseMs = leaseMs;
    this.leaseEndsNs = firstLeaseEndsNs;
    this.room = new WorkerAllocation(facts);
  }

  WorkerAllocation room() {
    return room;
  }

  /** Takes over what the worker says of itself; null if it is no longer listed. */
  void update(@Nullable WorkerDescriptor newer) {
    if (newer == null) {
      listed = false;
      if (facts.draining()) {
        allGone("the worker has left");
      }
      return;
    }
    listed = true;
    facts = newer;
    room.update(newer);
    pump();
  }

  /** Returns whether nothing is left to do for a worker that is no longer listed. */
  boolean isForgettable() {
    return !listed && placements.isEmpty();
  }

  /** Returns whether new runs may go there. */
  boolean isUsable() {
    return synced && failures == 0 && listed && !facts.draining() && !room.isUnhealthy();
  }

  Iterable<Placement> placements() {
    return List.copyOf(placements.values());
  }

  /** Takes over a run that an earlier coordinator has placed. */
  void adopt(TaskProgress slot) {
    Placement placement = add(slot);
    placement.settledNs = loop.nowNs();
    placement.settled = true;
  }

  /** Reserves room for the slot's latest run, whose order follows with {@link #start}. */
  Placement add(TaskProgress slot) {
    Placement placement = new Placement(slot, slot.run(), room);
    room.reserve(slot.id(), slot.run(), slot.spec());
    placements.put(slot.id().toString(), placement);
    return placement;
  }

  /** Takes back a run whose order was never sent. */
  void withdraw(Placement placement) {
    remove(placement);
  }

  /** Takes back the run of a task whose order was never sent. */
  void withdraw(TaskProgress slot) {
    Placement placement = placements.get(slot.id().toString());
    if (placement != null && placement.run == slot.run()) {
      remove(placement);
    }
  }

  /** Returns whether a run still has its room here; it loses it when it is taken for gone. */
  boolean holds(Placement placement) {
    return !closed && isCurrent(placement);
  }

  /** Sends the order for a run. */
  void start(Placement placement, String payload, @Nullable String ticket) {
    long untilMs = leaseUntilMs();
    TaskProgress slot = placement.slot;
    if (untilMs == 0) {
      remove(placement);
      listener.onNotStarted(placement, Outcome.LATE);
      return;
    }
    extendLease(untilMs);
    StartRequest order =
        new StartRequest(slot.id().toString(), placement.run, payload, slot.checkpoint(), ticket);
    loop.then(
        port.start(facts, order, untilMs, fence, ORDER_TIMEOUT_MS),
        (reply, failure) -> onStartAnswered(placement, reply, failure));
    pump();
  }

  private void onStartAnswered(
      Placement placement, @Nullable WorkerReply reply, @Nullable PlatformException failure) {
    if (closed || !isCurrent(placement)) {
      return;
    }
    if (reply == null) {
      if (failure != null && !failure.mayHaveTakenEffect()) {
        callFailed(failure);
        remove(placement);
        listener.onNotStarted(placement, Outcome.UNAVAILABLE);
        return;
      }
      placement.uncertain = true;
      placement.uncertainSinceNs = loop.nowNs();
      callFailed(failure);
      return;
    }
    switch (reply.outcome()) {
      case ACCEPTED -> {
        settle(placement);
        if (placement.startedNs == 0) {
          placement.startedNs = loop.nowNs();
          listener.onStarted(placement);
        }
        pace(placement);
      }
      case FENCED -> listener.onFenced(facts.id());
      case STALE_RUN -> settle(placement);
      default -> {
        remove(placement);
        listener.onNotStarted(placement, reply.outcome());
      }
    }
    pump();
  }

  private void settle(Placement placement) {
    placement.uncertain = false;
    placement.settled = true;
    placement.settledNs = loop.nowNs();
  }

  /** Stops the run of a task, again and again until its end is known. */
  void stop(TaskProgress slot) {
    Placement placement = placements.get(slot.id().toString());
    if (placement != null && !placement.stopping) {
      placement.stopping = true;
      sendStop(placement);
    }
  }

  private void sendStop(Placement placement) {
    placement.stopSentNs = loop.nowNs();
    loop.then(
        port.stop(facts, placement.slot.id().toString(), placement.run, fence, ORDER_TIMEOUT_MS),
        (reply, failure) -> {
          if (closed || !isCurrent(placement)) {
            return;
          }
          if (reply != null && reply.outcome() == Outcome.FENCED) {
            listener.onFenced(facts.id());
          } else if (reply != null && reply.outcome() == Outcome.ACCEPTED) {
            placement.stopSettled = true;
            settle(placement);
          }
          pump();
        });
  }

  private boolean isCurrent(Placement placement) {
    return placements.get(placement.slot.id().toString()) == placement;
  }

  private void remove(Placement placement) {
    placements.remove(placement.slot.id().toString(), placement);
    room.release(placement.slot.id(), placement.run);
  }

  /** Asks for the next report if none is on its way. */
  void pump() {
    if (closed || reportInFlight || awaitsStore || failures > 0) {
      return;
    }
    if (synced && placements.isEmpty() && seenUpTo == lastNumber) {
      lifeIsKnown = false;
      return;
    }
    ask(synced && seenUpTo == lastNumber ? REPORT_WAIT_MS : 0);
  }

  private void ask(long waitMs) {
    reportInFlight = true;
    // A retry renews nothing: each might arrive, and the end of the lease would move with it.
    long untilMs = synced && failures == 0 ? leaseUntilMs() : 0;
    if (untilMs > 0) {
      extendLease(untilMs);
    }
    long sentNs = loop.nowNs();
    loop.then(
        port.renewLease(
            facts, untilMs, lifeIsKnown ? seenUpTo : 0, fence, waitMs, waitMs + ORDER_TIMEOUT_MS),
        (report, failure) -> {
          reportInFlight = false;
          if (closed) {
            return;
          }
          if (report == null || report.outcome() == Outcome.UNAVAILABLE) {
            callFailed(failure);
          } else if (report.outcome() == Outcome.FENCED) {
            listener.onFenced(facts.id());
          } else {
            onReport(report, sentNs);
          }
        });
  }

  private long leaseUntilMs() {
    long nowNs = loop.nowNs();
    long authorityMs = TimeUnit.NANOSECONDS.toMillis(listener.authorityEndsNs() - nowNs);
    long lengthMs = Math.min(leaseMs, authorityMs);
    return lengthMs <= 0 || !synced
        ? 0
        : clockMs + TimeUnit.NANOSECONDS.toMillis(nowNs - clockAtNs) + lengthMs;
  }

  private void extendLease(long untilMs) {
    double remainingMs = (untilMs - clockMs) * ShardSettings.CLOCK_DRIFT;
    long endsNs =
        clockAtNs
            + TimeUnit.MILLISECONDS.toNanos(Math.round(remainingMs) + ShardSettings.LEASE_SLACK_MS);
    if (endsNs - leaseEndsNs > 0) {
      leaseEndsNs = endsNs;
    }
  }

  private void callFailed(@Nullable PlatformException failure) {
    failures++;
    lifeIsKnown = false;
    if (failures == 1) {
      logger.atInfo().log(
          "worker: %s does not answer, %d runs there: %s",
          facts.id(), placements.size(), failure == null ? "unavailable" : failure.getMessage());
    }
    if (reportInFlight) {
      return;
    }
    long delayMs = RETRY_MS * Math.min(failures, MAX_RETRY_FACTOR);
    reportInFlight = true;
    loop.schedule(
        delayMs,
        () -> {
          reportInFlight = false;
          if (closed) {
            return;
          }
          if (loop.nowNs() - leaseEndsNs > 0) {
            allGone("its lease has ended and the worker does not answer");
          }
          if (listed || !placements.isEmpty()) {
            ask(0);
          }
        });
  }

  private void allGone(String reason) {
    for (Placement placement : List.copyOf(placements.values())) {
      remove(placement);
      listener.onGone(placement, reason);
    }
  }

  private void onReport(Report report, long sentNs) {
    final boolean returned = failures > 0 || !synced;
    if (failures > 0) {
      logger.atInfo().log("worker: %s answers again.", facts.id());
    }
    failures = 0;
    lifeIsKnown = true;
    clockMs = report.clockMs();
    clockAtNs = loop.nowNs();
    if (bornMs >= 0 && report.startedAtMs() >= 0 && report.startedAtMs() != bornMs) {
      onReborn();
    }
    if (report.startedAtMs() >= 0) {
      bornMs = report.startedAtMs();
    }
    synced = true;
    Set<String> present = onRunning(report.running());
    onEnds(report.ended());
    if (report.complete()) {
      findVanished(present, sentNs);
    }
    paceFillers(report.running());
    if (returned) {
      listener.onUsable();
    }
    if (lastNumber > seenUpTo) {
      acknowledgeWhenStored(lastNumber);
    } else {
      pump();
    }
  }

  private void onReborn() {
    logger.atInfo().log(
        "worker: %s has begun a new life, %d runs were there.", facts.id(), placements.size());
    lastNumber = 0;
    seenUpTo = 0;
    room.resetFailures();
    // What the lists don't show is found vanished; a run may have started in the new life already.
    placements.values().forEach(placement -> placement.stopSettled = false);
  }

  private Set<String> onRunning(List<ActiveRun> rows) {
    Set<String> present = new HashSet<>();
    for (ActiveRun row : rows) {
      Placement placement = placements.get(row.task());
      if (placement == null || placement.run != row.run()) {
        stopStray(row);
        continue;
      }
      present.add(row.task());
      placement.slot.saveCheckpoint(row.checkpoint());
      if (placement.uncertain) {
        settle(placement);
      }
      if (placement.startedNs == 0 && placement.settled) {
        placement.startedNs = loop.nowNs();
        listener.onStarted(placement);
      }
      if (placement.stopping && olderThan(placement.stopSentNs, STOP_AGAIN_MS)) {
        sendStop(placement);
      }
    }
    return present;
  }

  /** Stops a run that no job has placed, such as one whose order came late. */
  private void stopStray(ActiveRun row) {
    logger.atInfo().log(
        "worker: %s runs %s run %d, not wanted.", facts.id(), row.task(), row.run());
    var unused = port.stop(facts, row.task(), row.run(), fence, ORDER_TIMEOUT_MS);
  }

  private boolean olderThan(long sinceNs, long ageMs) {
    return loop.nowNs() - sinceNs > TimeUnit.MILLISECONDS.toNanos(ageMs);
  }

  private void onEnds(List<EndedRun> rows) {
    for (EndedRun row : rows) {
      if (row.sequence() <= lastNumber) {
        continue;
      }
      lastNumber = row.sequence();
      Placement placement = placements.get(row.task());
      if (placement != null && placement.run == row.run()) {
        remove(placement);
        listener.onEnded(placement, row.reason(), row.checkpoint());
      }
    }
  }

  private void findVanished(Set<String> present, long sentNs) {
    for (Placement placement : List.copyOf(placements.values())) {
      if (present.contains(placement.slot.id().toString())) {
        continue;
      }
      if (placement.settled && placement.settledNs - sentNs < 0) {
        remove(placement);
        listener.onGone(placement, "the worker does not list it");
      } else if (placement.uncertain
          && placement.uncertainSinceNs - sentNs < 0
          && !placement.stopSettled
          && olderThan(placement.stopSentNs, STOP_AGAIN_MS)) {
        // Only a stop makes sure that the order has no effect later.
        sendStop(placement);
      }
    }
  }

  private void acknowledgeWhenStored(long number) {
    awaitsStore = true;
    final long life = bornMs;
    listener.afterStored(
        () -> {
          awaitsStore = false;
          if (life == bornMs) {
            seenUpTo = Math.max(seenUpTo, number);
          }
          pump();
        });
    loop.schedule(RENEW_MS, this::renewWhileWaiting);
  }

  private void renewWhileWaiting() {
    if (awaitsStore && !reportInFlight && !closed && failures == 0) {
      ask(0);
    }
  }

  private void paceFillers(List<ActiveRun> rows) {
    if (room.bestEffortRuns() == 0 || room.latencySensitiveRuns() == 0) {
      fillerPercent = FULL_SPEED;
      return;
    }
    double worst = 0;
    for (ActiveRun row : rows) {
      Placement placement = placements.get(row.task());
      if (placement != null && placement.slot.spec().responseTimeTargetMs() > 0 && row.load() >= 0) {
        worst = Math.max(worst, (double) row.load() / placement.slot.spec().responseTimeTargetMs());
      }
    }
    if (worst > 1) {
      fillerPercent = 0;
    } else if (worst > SLOW_DOWN_ABOVE) {
      fillerPercent = fillerPercent / 2;
    } else if (worst < SPEED_UP_BELOW) {
      fillerPercent = Math.min(FULL_SPEED, fillerPercent + SPEED_STEP);
    }
    placements.values().forEach(this::pace);
  }

  private void pace(Placement placement) {
    if (!placement.slot.spec().bestEffort() || placement.startedNs == 0) {
      return;
    }
    placement.wantedPercent = room.latencySensitiveRuns() == 0 ? FULL_SPEED : fillerPercent;
    if (placement.wantedPercent == placement.askedPercent) {
      return;
    }
    int before = placement.askedPercent;
    placement.askedPercent = placement.wantedPercent;
    loop.then(
        port.throttle(
            facts,
            placement.slot.id().toString(),
            placement.run,
            placement.wantedPercent,
            fence,
            ORDER_TIMEOUT_MS),
        (reply, failure) -> {
          if (reply == null) {
            placement.askedPercent = before;
            logger.atFine().log("worker: Speed of %s not set.", placement.slot.id());
          }
        });
  }

  /** Gives no more orders and renews no more leases. */
  void close() {
    closed = true;
    List<Placement> all = new ArrayList<>(placements.values());
    all.forEach(this::remove);
  }
}
