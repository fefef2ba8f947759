package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.daemon.port.TaskWorkerPort.ActiveRun;
import org.hickorymoor.daemon.port.TaskWorkerPort.EndedRun;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.daemon.port.TaskWorkerPort.Report;
import org.hickorymoor.daemon.port.TaskWorkerPort.StartRequest;
import org.hickorymoor.daemon.port.TaskWorkerPort.WorkerReply;
import org.hickorymoor.daemon.shard.CrashSuspects.Symptom;
import org.hickorymoor.domain.workload.CrashEvidence;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/**
 * Renews the lease of one worker, tracks its runs and sends it requests.
 *
 * <p>A run counts as lost only when it is missing from a report that was requested after the worker
 * acknowledged its start request, when the worker has restarted, or when its lease must have
 * expired. Not thread-safe; confined to the event loop thread.
 */
final class WorkerSession {

  /** Receives the events of a worker. */
  interface Listener extends Placement.RemainingTimes {

    /** The worker rejected a call, since it has seen a higher fencing token. */
    void onFenced(String workerId);

    /** The worker has accepted the start request of a run, or reports the run as running. */
    void onRunStarted(Placement placement);

    /** A run definitely did not start. */
    void onRunNotStarted(Placement placement, Outcome outcome);

    /** A run has ended; the worker retains the end until {@link #runAfterStored} has run. */
    void onRunEnded(Placement placement, TerminationReason how, String checkpoint);

    /**
     * The worker's process has ended without having announced it.
     *
     * @param wasStartingRuns whether a run that was starting may be the cause
     */
    void onWorkerCrashed(boolean wasStartingRuns);

    /**
     * A run that was starting may be the cause of a crash of its worker.
     *
     * @param evidence how strongly the crash speaks against the run
     */
    void onCrashSuspected(Placement placement, CrashEvidence evidence);

    /** The worker has survived the start of a run that was suspected of crashing another. */
    void onStartSurvived(Placement placement);

    /**
     * A run is lost: how it ended is unknown.
     *
     * @param silentMs how long the worker had not answered before; 0 if it has just answered
     */
    void onRunLost(Placement placement, String reason, long silentMs);

    /** Runs a task once everything reported so far is stored. */
    void runAfterStored(Runnable task);

    /** The worker accepts new runs again. */
    void onWorkerSchedulable();

    /**
     * Returns when the coordinator's lease ends, on the clock of {@link ShardEventLoop#nowNs};
     * leases of workers are renewed up to then.
     */
    long coordinatorLeaseEndsNs();
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Long-poll time of a report, so that an idle worker costs one call per second. */
  private static final long REPORT_LONG_POLL_MS = 1_000;

  /** Covers two slow network links and a busy worker. */
  private static final long REQUEST_TIMEOUT_MS = 700;

  /**
   * Timeout of a start request, and of the report that then shows whether the run is there. Covers
   * a new connection and a request to a far region.
   */
  private static final long START_TIMEOUT_MS = 350;

  /**
   * Wait after a failed call, multiplied by the consecutive failures up to {@link
   * #MAX_RETRY_FACTOR}.
   */
  private static final long RETRY_DELAY_MS = 150;

  private static final int MAX_RETRY_FACTOR = 5;

  /**
   * Failed calls in a row after which the end of the lease is stored that this coordinator has
   * granted; a lost answer causes fewer.
   */
  private static final int FAILURES_BEFORE_BOUND = 2;

  /** A healthy worker carries out a stop within 200 ms; after this time the stop is sent again. */
  private static final long STOP_RETRY_MS = 600;

  /**
   * Lease of runs on a draining worker; if it vanishes without closing its connections, its tasks
   * wait this long for a start elsewhere.
   */
  private static final long DRAINING_WORKER_LEASE_MS = 4_000;

  /** How long an acknowledgement waits for the responses to start requests. */
  private static final long ACKNOWLEDGEMENT_DELAY_MS = 50;

  /** Interval of lease renewals while the ends of runs can't be stored. */
  private static final long RENEW_INTERVAL_MS = 1_000;

  private final ShardEventLoop loop;
  private final TaskWorkerPort port;
  private final Listener listener;
  private final long fencingToken;
  private final ShardSettings settings;
  private final LeaseBounds leaseBounds;
  private final WorkerAllocation allocation;
  private final Map<String, Placement> placements = new HashMap<>();
  private WorkerDescriptor descriptor;
  private boolean listed = true;

  /** Whether the worker has removed its own entry. */
  private boolean departed;

  private boolean synced;
  private boolean closed;

  /** Whether a report is requested, or will be after the wait that follows a failed call. */
  private boolean reportInFlight;

  private boolean awaitingStore;

  private boolean acknowledgementDelayed;

  /**
   * Whether a recent report confirmed the worker's current incarnation, so that the end numbers are
   * its own. Acknowledging a number of an earlier incarnation would make the worker discard ends
   * that are not stored.
   */
  private boolean incarnationConfirmed;

  /** Whether the latest call shows that the worker's process has ended. */
  private boolean processEnded;

  /** Whether the crash that calls since the last report have shown is logged. */
  private boolean crashReported;

  private final CrashSuspects crashSuspects;

  private int consecutiveFailures;

  /** Time of the latest answer; of the creation of this session before the first one. */
  private long answeredNs;

  private long incarnationMs = -1;
  private long clockMs;
  private long clockAtNs;
  private long reportRequestedNs;

  /** When the lease must have ended, once the worker has answered in this term. */
  private long leaseEndsNs;

  private long leaseGrantedNs;
  private long lastEndNumber;
  private long acknowledgedEndNumber;

  /** The number up to which the worker has received the acknowledgement. */
  private long forgottenEndNumber;

  private final BestEffortThrottle throttle;
  private final WorkerEvacuation evacuation;

  WorkerSession(
      ShardEventLoop loop,
      TaskWorkerPort port,
      Listener listener,
      WorkerDescriptor descriptor,
      long fencingToken,
      ShardSettings settings,
      LeaseBounds leaseBounds) {
    this.loop = loop;
    this.port = port;
    this.listener = listener;
    this.descriptor = descriptor;
    this.fencingToken = fencingToken;
    this.settings = settings;
    this.leaseBounds = leaseBounds;
    this.answeredNs = loop.nowNs();
    this.allocation = new WorkerAllocation(descriptor);
    this.crashSuspects = new CrashSuspects(loop, placements);
    this.throttle =
        new BestEffortThrottle(
            loop,
            port,
            () -> this.descriptor,
            allocation,
            placements,
            fencingToken,
            REQUEST_TIMEOUT_MS,
            () -> listener.onFenced(this.descriptor.id()));
    this.evacuation =
        new WorkerEvacuation(
            loop, placements, () -> this.descriptor.draining(), listener, this::stop);
  }

  WorkerAllocation allocation() {
    return allocation;
  }

  /** Returns the runs that are or may be on the worker. */
  Collection<Placement> placements() {
    return Collections.unmodifiableCollection(placements.values());
  }

  /** Applies the latest list entry of the worker. */
  void update(WorkerDescriptor newer) {
    listed = true;
    departed = false;
    final boolean drainBegan = newer.draining() && !descriptor.draining();
    descriptor = newer;
    allocation.update(newer);
    requestReport();
    if (drainBegan && newer.remainingMs() >= 0 && newer.remainingMs() < settings.workerDrainMs()) {
      evacuation.begin(newer.id(), newer.remainingMs());
    }
  }

  /**
   * Notes that the worker is no longer listed.
   *
   * @param removedItself whether the worker has just removed its own entry, as it does when its
   *     process exits
   */
  void onUnlisted(boolean removedItself) {
    listed = false;
    departed |= removedItself;
    if (hasLeft()) {
      markAllLost("the worker has left");
    } else {
      // The worker may only fail to reach the store; the next call to it shows whether it left.
      requestReport();
    }
  }

  /** Returns whether the worker is no longer listed and none of its runs is left. */
  boolean isRemovable() {
    return !listed && placements.isEmpty();
  }

  /** Returns whether new runs may be placed on the worker. */
  boolean isSchedulable() {
    return synced
        && consecutiveFailures == 0
        && listed
        && !descriptor.draining()
        && !allocation.isUnhealthy();
  }

  /** Returns whether a run may start beside those that are starting now. */
  boolean isStartable(TaskProgress task) {
    return crashSuspects.isStartable(task);
  }

  /** Returns what is known of runs that may crash the worker. */
  CrashSuspects crashSuspects() {
    return crashSuspects;
  }

  /**
   * Adopts a run that an earlier coordinator placed, and requests a report, which shows whether it
   * is there.
   */
  void adopt(TaskProgress task) {
    Placement placement = add(task, true);
    placement.acknowledgedNs = loop.nowNs();
    placement.acknowledged = true;
    placement.startSent = true;
    // Later, so that one report covers all runs that are adopted together.
    loop.execute(this::requestReport);
  }

  /**
   * Reserves capacity for the task's latest run, whose start request follows with {@link #start}.
   */
  Placement add(TaskProgress task) {
    return add(task, false);
  }

  private Placement add(TaskProgress task, boolean adopted) {
    Placement placement = new Placement(task, task.run(), allocation, adopted);
    allocation.reserve(task.id(), task.run(), task.spec());
    placements.put(task.id().toString(), placement);
    crashSuspects.runPlaced(placement);
    return placement;
  }

  /** Cancels the reservation of a run whose start request was never sent. */
  void withdraw(Placement placement) {
    remove(placement);
  }

  /** Cancels the reservation of a task's latest run, whose start request was never sent. */
  void withdraw(TaskProgress task) {
    Placement placement = placements.get(task.id().toString());
    if (placement != null && placement.run == task.run()) {
      remove(placement);
    }
  }

  /**
   * Returns whether a run still holds its reservation; it loses the reservation when it counts as
   * lost.
   */
  boolean hasReservation(Placement placement) {
    return !closed && isCurrent(placement);
  }

  /**
   * Sends the start request of a run; without a lease to grant, the run is reported as not started.
   */
  void start(Placement placement, String payload, @Nullable String ticket) {
    if (placement.task.suspectedCrashes() == 0) {
      sendStart(placement, payload, ticket);
      return;
    }
    // A suspected task starts only on a worker that has just answered, so that silence after the
    // start is evidence.
    long sentNs = loop.nowNs();
    String address = descriptor.address();
    loop.then(
        port.renewLease(descriptor, 0, 0, fencingToken, 0, START_TIMEOUT_MS),
        (report, failure) -> {
          onReportAnswered(report, failure, sentNs, address);
          if (closed || !isCurrent(placement)) {
            return;
          }
          if (consecutiveFailures > 0 || placement.stopping || allocation.isOverCommitted()) {
            remove(placement);
            listener.onRunNotStarted(placement, Outcome.UNAVAILABLE);
            return;
          }
          placement.silentSinceStart = true;
          sendStart(placement, payload, ticket);
        });
  }

  private void sendStart(Placement placement, String payload, @Nullable String ticket) {
    long untilMs = newLeaseEndMs();
    final TaskProgress task = placement.task;
    if (untilMs == 0) {
      remove(placement);
      listener.onRunNotStarted(placement, Outcome.LATE);
      return;
    }
    extendLease(untilMs);
    placement.startSent = true;
    placement.startSentNs = loop.nowNs();
    StartRequest request =
        new StartRequest(task.id().toString(), placement.run, payload, task.checkpoint(), ticket);
    loop.then(
        port.start(descriptor, request, untilMs, fencingToken, START_TIMEOUT_MS),
        (reply, failure) -> onStartAnswered(placement, reply, failure));
    requestReport();
  }

  private void onStartAnswered(
      Placement placement, @Nullable WorkerReply reply, @Nullable PlatformException failure) {
    if (closed) {
      return;
    }
    if (!isCurrent(placement)) {
      requestReport();
      return;
    }
    if (reply == null) {
      if (failure != null && !failure.mayHaveTakenEffect()) {
        remove(placement);
        crashSuspects.remove(placement);
        onCallFailed(symptom(failure), failure.getMessage());
        listener.onRunNotStarted(placement, Outcome.UNAVAILABLE);
        return;
      }
      placement.unanswered = true;
      placement.unansweredSinceNs = loop.nowNs();
      requestReportNow();
      return;
    }
    placement.incarnationKnown |= isFromReportedIncarnation(reply);
    switch (reply.outcome()) {
      case ACCEPTED -> {
        markAcknowledged(placement);
        if (placement.startedNs == 0) {
          onStarted(placement);
        }
        throttle.update(placement);
      }
      case FENCED -> listener.onFenced(descriptor.id());
      case STALE_RUN -> markAcknowledged(placement);
      default -> {
        remove(placement);
        crashSuspects.remove(placement);
        listener.onRunNotStarted(placement, reply.outcome());
      }
    }
    requestReport();
  }

  /**
   * Returns whether the worker's process is older than the request of the latest report: its clock
   * begins anew when it restarts.
   */
  private boolean isFromReportedIncarnation(WorkerReply reply) {
    double sinceRequestMs =
        TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - reportRequestedNs)
            * ShardSettings.CLOCK_DRIFT_FACTOR;
    return synced && reply.clockMs() > sinceRequestMs + 1;
  }

  private void onStarted(Placement placement) {
    placement.startedNs = loop.nowNs();
    listener.onRunStarted(placement);
    if (placement.task.suspectedCrashes() > 0) {
      loop.schedule(Placement.STARTUP_MS, () -> checkStartSurvived(placement));
    }
  }

  private void checkStartSurvived(Placement placement) {
    if (!closed
        && isCurrent(placement)
        && consecutiveFailures == 0
        && placement.startedNs != 0
        && placement.task.suspectedCrashes() > 0
        && !placement.isStarting(loop.nowNs())) {
      listener.onStartSurvived(placement);
    }
  }

  private void markAcknowledged(Placement placement) {
    placement.unanswered = false;
    placement.acknowledged = true;
    placement.acknowledgedNs = loop.nowNs();
  }

  /** Stops the run of a task, repeating the request until the run's end is known. */
  void stop(TaskProgress task) {
    Placement placement = placements.get(task.id().toString());
    if (placement != null && !placement.stopping) {
      placement.stopping = true;
      sendStop(placement);
    }
  }

  private void sendStop(Placement placement) {
    placement.stopSentNs = loop.nowNs();
    loop.then(
        port.stop(
            descriptor,
            placement.task.id().toString(),
            placement.run,
            fencingToken,
            REQUEST_TIMEOUT_MS),
        (reply, failure) -> {
          if (closed || !isCurrent(placement)) {
            return;
          }
          if (reply != null && reply.outcome() == Outcome.FENCED) {
            listener.onFenced(descriptor.id());
          } else if (reply != null && reply.outcome() == Outcome.ACCEPTED) {
            placement.stopAcknowledged = true;
            markAcknowledged(placement);
          }
          requestReportNow();
        });
  }

  private boolean isCurrent(Placement placement) {
    return placements.get(placement.task.id().toString()) == placement;
  }

  private void remove(Placement placement) {
    placements.remove(placement.task.id().toString(), placement);
    allocation.release(placement.task.id(), placement.run);
  }

  /**
   * Requests the next report unless a request is in flight or due after a failed call, ends wait to
   * be stored, or nothing is expected of the worker.
   */
  void requestReport() {
    if (closed || reportInFlight || awaitingStore || (consecutiveFailures > 0 && !retriesCalls())) {
      return;
    }
    if (synced && consecutiveFailures == 0 && leaseBounds.isStored(descriptor.id())) {
      // Continues once the removal of the bound is stored, so that the lease is renewed at once.
      return;
    }
    boolean upToDate = synced && consecutiveFailures == 0 && acknowledgedEndNumber == lastEndNumber;
    if (upToDate && placements.isEmpty()) {
      incarnationConfirmed = false;
      return;
    }
    if (incarnationConfirmed && isAcknowledgementDue() && !isAcknowledgementSafe()) {
      delayAcknowledgement();
      return;
    }
    sendReportRequest(upToDate ? REPORT_LONG_POLL_MS : 0);
  }

  private boolean isAcknowledgementDue() {
    return acknowledgedEndNumber > forgottenEndNumber;
  }

  /**
   * Returns whether no unreported incarnation of the worker can have runs of this session, whose
   * ends it would forget unseen.
   */
  private boolean isAcknowledgementSafe() {
    return incarnationConfirmed
        && placements.values().stream()
            .allMatch(placement -> !placement.startSent || placement.incarnationKnown);
  }

  private void delayAcknowledgement() {
    if (acknowledgementDelayed) {
      return;
    }
    acknowledgementDelayed = true;
    loop.schedule(
        ACKNOWLEDGEMENT_DELAY_MS,
        () -> {
          acknowledgementDelayed = false;
          if (!closed
              && !reportInFlight
              && !awaitingStore
              && consecutiveFailures == 0
              && isAcknowledgementDue()
              && !isAcknowledgementSafe()) {
            sendReportRequest(0);
          } else {
            requestReport();
          }
        });
  }

  /**
   * Requests a report that is answered at once, also beside one that waits for an end, to learn
   * whether a run is there.
   */
  private void requestReportNow() {
    if (!reportInFlight) {
      requestReport();
    }
    long sentNs = loop.nowNs();
    String address = descriptor.address();
    loop.then(
        port.renewLease(descriptor, 0, 0, fencingToken, 0, START_TIMEOUT_MS),
        (report, failure) -> onReportAnswered(report, failure, sentNs, address));
  }

  private void sendReportRequest(long waitMs) {
    reportInFlight = true;
    // Retries don't renew the lease: any of them might arrive, and each would move the end of the
    // lease.
    long untilMs = synced && consecutiveFailures == 0 ? newLeaseEndMs() : 0;
    if (untilMs > 0) {
      extendLease(untilMs);
    }
    long sentNs = loop.nowNs();
    String address = descriptor.address();
    long acknowledgedUpTo =
        isAcknowledgementDue() && isAcknowledgementSafe() ? acknowledgedEndNumber : 0;
    loop.then(
        port.renewLease(
            descriptor,
            untilMs,
            acknowledgedUpTo,
            fencingToken,
            waitMs,
            waitMs + REQUEST_TIMEOUT_MS),
        (report, failure) -> {
          reportInFlight = false;
          if (report != null
              && report.outcome() == Outcome.ACCEPTED
              && report.startedAtMs() == incarnationMs) {
            forgottenEndNumber = Math.max(forgottenEndNumber, acknowledgedUpTo);
          }
          onReportAnswered(report, failure, sentNs, address);
        });
  }

  private void onReportAnswered(
      @Nullable Report report,
      @Nullable PlatformException failure,
      long sentNs,
      String calledAddress) {
    if (closed) {
      return;
    }
    if (report == null) {
      onCallFailed(symptom(failure), failure == null ? null : failure.getMessage());
    } else if (report.outcome() == Outcome.UNAVAILABLE) {
      onCallFailed(Symptom.UNHEALTHY, null);
    } else if (report.outcome() == Outcome.REPLACED) {
      onCallFailed(Symptom.REPLACED, null);
      if (calledAddress.equals(descriptor.address())) {
        onCrash("another worker answers at its address", true);
        markAllLost("another worker has taken the address of its worker");
      }
    } else if (report.outcome() == Outcome.FENCED) {
      listener.onFenced(descriptor.id());
    } else {
      onReport(report, sentNs);
    }
  }

  private long newLeaseEndMs() {
    long nowNs = loop.nowNs();
    long coordinatorLeaseMs =
        TimeUnit.NANOSECONDS.toMillis(listener.coordinatorLeaseEndsNs() - nowNs);
    long workerLeaseMs =
        descriptor.draining()
            ? Math.min(settings.leaseMs(), DRAINING_WORKER_LEASE_MS)
            : settings.leaseMs();
    long lengthMs = Math.min(workerLeaseMs, coordinatorLeaseMs);
    return lengthMs <= 0 || !synced || leaseBounds.isStored(descriptor.id())
        ? 0
        : clockMs + TimeUnit.NANOSECONDS.toMillis(nowNs - clockAtNs) + lengthMs;
  }

  private void extendLease(long untilMs) {
    double remainingMs = (untilMs - clockMs) * ShardSettings.CLOCK_DRIFT_FACTOR;
    long endsNs =
        clockAtNs
            + TimeUnit.MILLISECONDS.toNanos(Math.round(remainingMs) + ShardSettings.LEASE_GRACE_MS);
    if (endsNs - leaseEndsNs > 0) {
      leaseEndsNs = endsNs;
    }
    leaseGrantedNs = loop.nowNs();
  }

  /**
   * Counts all runs as lost if the worker does not answer and its lease must have ended; stores
   * when it ends until then.
   */
  void checkLease() {
    if (consecutiveFailures == 0) {
      return;
    }
    long endsNs = synced ? leaseEndsNs : leaseBounds.formerLeaseEndsNs(descriptor.id());
    if (loop.nowNs() - endsNs <= 0) {
      storeLeaseBound();
      return;
    }
    if (!listed && processEnded) {
      onCrash("it refuses connections and its entry was removed", false);
    }
    markAllLost("its lease has expired and the worker has not answered for " + silentMs() + " ms");
  }

  /** Returns whether runs wait for the end of a lease that a former coordinator granted. */
  boolean awaitsFormerLease() {
    return !synced && consecutiveFailures > 0 && !placements.isEmpty();
  }

  private void storeLeaseBound() {
    if (placements.isEmpty()) {
      return;
    }
    if (!synced) {
      leaseBounds.storeFormer(descriptor.id());
    } else if (consecutiveFailures >= FAILURES_BEFORE_BOUND) {
      leaseBounds.store(descriptor.id(), leaseEndsNs, leaseGrantedNs);
    }
  }

  private void removeLeaseBound() {
    leaseBounds.remove(descriptor.id(), this::requestReport);
  }

  private static Symptom symptom(@Nullable PlatformException failure) {
    return failure != null
            && (failure.type() == PlatformException.Type.UNREACHABLE
                || failure.type() == PlatformException.Type.CONNECTION_CLOSED)
        ? Symptom.CONNECTION_CLOSED
        : Symptom.NO_RESPONSE;
  }

  private void onCallFailed(Symptom symptom, @Nullable String detail) {
    consecutiveFailures++;
    incarnationConfirmed = false;
    if (consecutiveFailures == 1) {
      crashSuspects.suspectStartingRuns(symptom, Set.of());
      logger.atInfo().log(
          "worker: %s does not answer (%s), %d runs there, %d of them starting: %s",
          descriptor.id(), symptom, placements.size(), crashSuspects.size(), detail);
    }
    processEnded = symptom == Symptom.CONNECTION_CLOSED;
    if (hasLeft()) {
      markAllLost("the worker has left");
    }
    storeLeaseBound();
    if (reportInFlight) {
      return;
    }
    long delayMs = RETRY_DELAY_MS * Math.min(consecutiveFailures, MAX_RETRY_FACTOR);
    reportInFlight = true;
    loop.schedule(
        delayMs,
        () -> {
          reportInFlight = false;
          if (closed) {
            return;
          }
          checkLease();
          if (retriesCalls()) {
            sendReportRequest(0);
          }
        });
  }

  /** Returns whether calls to the worker are repeated after they have failed. */
  private boolean retriesCalls() {
    return listed || !placements.isEmpty();
  }

  private void onCrash(String proof, boolean certain) {
    if (crashReported) {
      return;
    }
    crashReported = true;
    List<Placement> suspects = crashSuspects.drain();
    logger.atInfo().log(
        "worker: %s has ended%s, %s, first symptom %s %d ms before; runs that were starting: %s.",
        descriptor.id(),
        descriptor.draining() ? " while draining" : "",
        proof,
        crashSuspects.symptom(),
        crashSuspects.symptomAgeMs(),
        suspects.stream().map(this::describeSuspect).toList());
    if (descriptor.draining()) {
      return;
    }
    listener.onWorkerCrashed(!suspects.isEmpty());
    for (Placement suspect : suspects) {
      listener.onCrashSuspected(suspect, crashSuspects.evidence(suspect, certain));
    }
  }

  private String describeSuspect(Placement suspect) {
    String run = suspect.task.id() + " run " + suspect.run;
    if (suspect.startedNs == 0) {
      return run + " without an answer";
    }
    long beforeMs =
        TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - suspect.startedNs)
            - crashSuspects.symptomAgeMs();
    return run + " " + beforeMs + " ms before";
  }

  /**
   * Returns whether the worker's process has exited: the worker was draining, has removed its own
   * entry and doesn't answer. An entry that has expired proves nothing, nor does a refused
   * connection: a worker that is cut off from the store and from this host shows both.
   */
  private boolean hasLeft() {
    return departed && descriptor.draining() && consecutiveFailures > 0;
  }

  private void markAllLost(String reason) {
    for (Placement placement : List.copyOf(placements.values())) {
      remove(placement);
      listener.onRunLost(placement, reason, silentMs());
    }
  }

  private long silentMs() {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - answeredNs);
  }

  private void onReport(Report report, long sentNs) {
    final boolean recovered = consecutiveFailures > 0 || !synced;
    if (consecutiveFailures > 0) {
      logger.atInfo().log("worker: %s answers again.", descriptor.id());
    }
    consecutiveFailures = 0;
    final long previousReportNs = answeredNs;
    answeredNs = loop.nowNs();
    processEnded = false;
    crashReported = false;
    incarnationConfirmed = true;
    clockMs = report.clockMs();
    clockAtNs = loop.nowNs();
    reportRequestedNs = sentNs;
    if (incarnationMs >= 0 && report.startedAtMs() >= 0 && report.startedAtMs() != incarnationMs) {
      onWorkerRestarted(report);
    }
    if (report.startedAtMs() >= 0) {
      incarnationMs = report.startedAtMs();
    }
    crashSuspects.clear();
    for (Placement placement : placements.values()) {
      placement.silentSinceStart &= placement.startSentNs - sentNs > 0;
    }
    if (!synced) {
      synced = true;
      // From now on the worker rejects former coordinators.
      long renewedEndsNs =
          loop.nowNs()
              + TimeUnit.MILLISECONDS.toNanos(HeartbeatHistory.maxElapsedMs(settings.leaseMs()));
      long formerEndsNs = leaseBounds.formerLeaseEndsNs(descriptor.id());
      leaseEndsNs = formerEndsNs - renewedEndsNs < 0 ? formerEndsNs : renewedEndsNs;
      leaseGrantedNs = loop.nowNs();
    }
    removeLeaseBound();
    Set<String> present = onRunningRuns(report.running());
    onEndedRuns(report.ended(), sentNs, previousReportNs);
    if (report.complete()) {
      detectLostRuns(present, sentNs);
    }
    markKnownIncarnations(present, sentNs);
    throttle.onReport(report.running(), sentNs);
    if (recovered) {
      listener.onWorkerSchedulable();
    }
    if (lastEndNumber > acknowledgedEndNumber) {
      acknowledgeWhenStored(lastEndNumber);
    } else {
      requestReport();
    }
  }

  private void onWorkerRestarted(Report report) {
    logger.atInfo().log(
        "worker: %s has restarted, %d runs were placed there.", descriptor.id(), placements.size());
    if (crashSuspects.isEmpty()) {
      // The restart was so quick that no call failed.
      crashSuspects.suspectStartingRuns(
          Symptom.RESTARTED,
          Stream.concat(
                  report.running().stream().map(ActiveRun::task),
                  report.ended().stream().map(EndedRun::task))
              .collect(Collectors.toUnmodifiableSet()));
    }
    onCrash("it has restarted", true);
    lastEndNumber = 0;
    acknowledgedEndNumber = 0;
    forgottenEndNumber = 0;
    allocation.resetFailures();
    // Runs missing from the report are detected as lost; a run may have been started in the new
    // incarnation already.
    placements.values().forEach(placement -> placement.stopAcknowledged = false);
  }

  private Set<String> onRunningRuns(List<ActiveRun> rows) {
    Set<String> present = new HashSet<>();
    for (ActiveRun row : rows) {
      Placement placement = placements.get(row.task());
      if (placement == null || placement.run != row.run()) {
        stopUnexpectedRun(row);
        continue;
      }
      present.add(row.task());
      placement.task.saveCheckpoint(row.checkpoint());
      if (placement.unanswered) {
        markAcknowledged(placement);
      }
      if (placement.startedNs == 0 && placement.acknowledged) {
        onStarted(placement);
      }
      checkStartSurvived(placement);
      if (placement.stopping && hasElapsed(placement.stopSentNs, STOP_RETRY_MS)) {
        sendStop(placement);
      }
    }
    return present;
  }

  /** Stops a run that no job has placed here, such as one whose start request arrived late. */
  private void stopUnexpectedRun(ActiveRun row) {
    logger.atInfo().log(
        "worker: %s runs %s run %d, which is not placed there; stopping it.",
        descriptor.id(), row.task(), row.run());
    var unused = port.stop(descriptor, row.task(), row.run(), fencingToken, REQUEST_TIMEOUT_MS);
  }

  private boolean hasElapsed(long sinceNs, long ageMs) {
    return loop.nowNs() - sinceNs > TimeUnit.MILLISECONDS.toNanos(ageMs);
  }

  private void onEndedRuns(List<EndedRun> rows, long sentNs, long previousReportNs) {
    for (EndedRun row : rows) {
      if (row.sequence() <= lastEndNumber) {
        continue;
      }
      lastEndNumber = row.sequence();
      Placement placement = placements.get(row.task());
      if (placement != null && placement.run == row.run()) {
        remove(placement);
        placement.recordEndReport(sentNs, previousReportNs);
        listener.onRunEnded(placement, row.reason(), row.checkpoint());
      }
    }
  }

  private void detectLostRuns(Set<String> present, long sentNs) {
    for (Placement placement : List.copyOf(placements.values())) {
      if (present.contains(placement.task.id().toString())) {
        continue;
      }
      if (placement.acknowledged && placement.acknowledgedNs - sentNs <= 0) {
        remove(placement);
        listener.onRunLost(placement, "missing from the worker's report", silentMs());
      } else if (placement.unanswered
          && placement.unansweredSinceNs - sentNs <= 0
          && !placement.stopAcknowledged
          && hasElapsed(placement.stopSentNs, STOP_RETRY_MS)) {
        // Only a stop guarantees that the unanswered start request takes no effect later.
        sendStop(placement);
      }
    }
  }

  private void markKnownIncarnations(Set<String> present, long sentNs) {
    for (Placement placement : placements.values()) {
      boolean answeredBefore = placement.acknowledged && placement.acknowledgedNs - sentNs <= 0;
      boolean givenUpBefore = placement.unanswered && placement.unansweredSinceNs - sentNs <= 0;
      if (answeredBefore || givenUpBefore || present.contains(placement.task.id().toString())) {
        placement.incarnationKnown = true;
      }
    }
  }

  private void acknowledgeWhenStored(long number) {
    awaitingStore = true;
    final long incarnation = incarnationMs;
    listener.runAfterStored(
        () -> {
          awaitingStore = false;
          if (incarnation == incarnationMs) {
            acknowledgedEndNumber = Math.max(acknowledgedEndNumber, number);
          }
          requestReport();
        });
    loop.schedule(RENEW_INTERVAL_MS, this::renewWhileWaiting);
  }

  private void renewWhileWaiting() {
    if (awaitingStore && !reportInFlight && !closed && consecutiveFailures == 0) {
      sendReportRequest(0);
    }
  }

  /** Stops sending requests and renewing the lease. */
  void close() {
    closed = true;
    List<Placement> all = new ArrayList<>(placements.values());
    all.forEach(this::remove);
  }
}
