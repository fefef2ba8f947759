package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.daemon.shard.WorkerSession.Placement;
import org.hickorymoor.domain.workload.ApprovalPolicy;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.Urgency;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.hickorymoor.domain.workload.WorkloadState;
import org.jspecify.annotations.Nullable;

/**
 * Runs the jobs of the cell while this host coordinates.
 *
 * <p>A placement is stored before its order is sent, and an end before the worker may forget it. So
 * whatever host takes over knows where each task may run and which have succeeded. Belongs to the
 * thread of the loop.
 */
final class JobScheduler implements WorkerSession.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Name under which the ledger is written. */
  private static final String WRITER = "coordinator";

  /** Decisions are made at most this often, so that one pass serves many events. */
  private static final long PASS_MS = 4;

  /** Time-driven work is looked for at this pace. */
  private static final long TICK_MS = 250;

  /** A worker whose runs all failed is tried again after this time. */
  private static final long SICK_PAUSE_MS = 5_000;

  /** A task whose start was refused waits before it is placed again. */
  private static final long PAUSE_AFTER_REFUSAL_MS = 100;

  /** Share of a worker that work of low priority leaves free for urgent work. */
  private static final double URGENT_SHARE = 0.06;

  /**
   * A host gives a request up within 3 s, and its append may still be on its way; a job that comes
   * later is taken in from the store.
   */
  private static final long ANNOUNCED_MS = 5_000;

  private static final long NO_OFFSET = -1;

  /** A job and what is known of it beyond its progress. */
  private static final class Job {
    private final JobProgress progress;
    private final List<Runnable> heldOrders = new ArrayList<>();
    private WorkloadState storedState;
    private long pausedUntilNs;
    private boolean accepted;

    Job(JobProgress progress, boolean accepted) {
      this.progress = progress;
      this.accepted = accepted;
      this.storedState = progress.state();
    }

    String id() {
      return progress.submission().jobId();
    }
  }

  /** A step that could start now. */
  private record Waiting(Job job, StepProgress step, Urgency urgency) {}

  private final ShardEventLoop loop;
  private final ShardMetrics metrics;
  private final KeyedLogPort log;
  private final TaskWorkerPort workerPort;
  private final ShardSettings settings;
  private final long epoch;
  private final Supplier<Long> authorityEndsNs;
  private final WorkerCatalog catalog;
  private final ApprovalDispatcher advice;
  private final LedgerWriter ledger;
  private final Consumer<String> onSuperseded;
  private final long electedNs;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, WorkloadState> ended = new HashMap<>();
  private final Set<String> cancelled = new HashSet<>();
  private final Set<Job> pending = new LinkedHashSet<>();
  private final Map<String, WorkerSession> sessions = new HashMap<>();
  private final ApprovalCache approvals;
  private final Map<String, Long> sickSinceNs = new HashMap<>();
  private final Map<String, byte[]> progressRecords = new HashMap<>();
  private final List<SubmissionReader> intakes;
  private final EndedSubmissionCleaner endedSubmissions;
  private int lanesLoaded;
  private boolean progressLoaded;
  private Map<String, WorkerDescriptor> listedEarly = Map.of();
  private boolean ready;
  private boolean closed;
  private boolean passScheduled;

  JobScheduler(
      ShardEventLoop loop,
      KeyedLogPort log,
      TaskWorkerPort workerPort,
      ShardSettings settings,
      long epoch,
      Supplier<Long> authorityEndsNs,
      WorkerCatalog catalog,
      ApprovalDispatcher advice,
      ShardMetrics metrics,
      Consumer<String> onSuperseded) {
    this.loop = loop;
    this.metrics = metrics;
    this.electedNs = loop.nowNs();
    this.log = log;
    this.workerPort = workerPort;
    this.settings = settings;
    this.epoch = epoch;
    this.authorityEndsNs = authorityEndsNs;
    this.catalog = catalog;
    this.advice = advice;
    this.approvals = new ApprovalCache(loop, advice, this::onApproved);
    this.intakes =
        KeyedStream.submissionPartitions().stream()
            .map(lane -> new SubmissionReader(loop, log, lane, this::takeIn))
            .toList();
    this.endedSubmissions = new EndedSubmissionCleaner(loop, log);
    this.onSuperseded = onSuperseded;
    this.ledger =
        new LedgerWriter(
            loop,
            log,
            WRITER,
            epoch,
            metrics,
            () -> onSuperseded.accept("the ledger has a newer epoch"));
  }

  /** Takes over from whoever coordinated before. */
  void start() {
    ledger.open(this::loadProgress);
    // A submission can be taken in only once it is known how far its job is.
    intakes.forEach(SubmissionReader::hold);
    intakes.forEach(intake -> intake.start(this::onLaneLoaded));
    catalog.start(this::onWorkers);
    loop.schedule(TICK_MS, this::tick);
  }

  /** Stops at once: gives no orders, renews no leases, stores nothing. */
  void close() {
    closed = true;
    ledger.close();
    advice.close();
    catalog.close();
    intakes.forEach(SubmissionReader::close);
    endedSubmissions.close();
    sessions.values().forEach(WorkerSession::close);
    sessions.clear();
  }

  // Loading

  private void loadProgress() {
    LatestRecordReader.read(
        loop,
        log,
        KeyedStream.LEDGER,
        new LatestRecordReader.Sink() {
          @Override
          public boolean isClosed() {
            return closed;
          }

          @Override
          public void onRecord(StoredRecord stored) {
            progressRecords.put(stored.key(), stored.value());
          }

          @Override
          public void onEnd(long endOffset) {
            progressLoaded = true;
            intakes.forEach(SubmissionReader::release);
            beginWorkIfLoaded();
          }
        });
  }

  private void onLaneLoaded() {
    lanesLoaded++;
    beginWorkIfLoaded();
  }

  private void beginWorkIfLoaded() {
    if (progressLoaded && lanesLoaded == intakes.size() && !ready) {
      beginWork();
    }
  }

  private void beginWork() {
    metrics.tookOver(TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - electedNs));
    progressRecords.forEach(this::rememberEnded);
    // The rest belongs to jobs whose submission is yet to be read.
    progressRecords.keySet().removeAll(jobs.keySet());
    progressRecords.keySet().removeAll(ended.keySet());
    ready = true;
    logger.atInfo().log(
        "shard: Took over in %d ms, epoch %d: %d open jobs, %d ended.",
        TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - electedNs), epoch, jobs.size(), ended.size());
    endedSubmissions.start();
    onWorkers(listedEarly);
    listedEarly = Map.of();
    passSoon();
  }

  /** Remembers jobs whose submission is no longer kept. */
  private void rememberEnded(String jobId, byte[] record) {
    if (jobs.containsKey(jobId) || ended.containsKey(jobId)) {
      return;
    }
    try {
      WorkloadState state = WorkloadCodec.decodeState(record);
      if (state.isFinal()) {
        ended.put(jobId, state);
        endedSubmissions.ended(jobId);
      }
    } catch (MalformedRecordException e) {
      logger.atFine().log("shard: Record %s is not the progress of a job.", jobId);
    }
  }

  private void takeIn(KeyedStream lane, StoredRecord stored) {
    if (stored.isTombstone()) {
      return;
    }
    String cancelledId = SubmissionKeys.cancelledJob(stored.key());
    if (cancelledId != null) {
      note(cancelledId, lane, stored.key());
      cancel(cancelledId);
      return;
    }
    String jobId = SubmissionKeys.submittedJob(stored.key());
    if (jobId == null) {
      return;
    }
    note(jobId, lane, stored.key());
    take(jobId, stored, true);
  }

  /**
   * Takes in a job that a host is about to store, or has just stored. It is placed at once, but
   * nothing is started before it is stored.
   *
   * @param key key of its record
   * @param value content of its record
   * @param isStored whether the store has taken it
   */
  void announced(String key, byte[] value, boolean isStored) {
    String jobId = SubmissionKeys.submittedJob(key);
    if (ready && !closed && jobId != null) {
      take(jobId, new StoredRecord(NO_OFFSET, key, value), isStored);
    }
  }

  private void take(String jobId, StoredRecord stored, boolean isAccepted) {
    Job known = jobs.get(jobId);
    if (known != null && isAccepted && !known.accepted) {
      known.accepted = true;
      List.copyOf(known.heldOrders).forEach(Runnable::run);
      known.heldOrders.clear();
    }
    if (known != null || ended.containsKey(jobId)) {
      return;
    }
    try {
      accept(jobId, stored, isAccepted);
    } catch (MalformedRecordException e) {
      logger.atWarning().withCause(e).log(
          "shard: Submission %s at offset %d can't be read.", jobId, stored.offset());
    }
  }

  private void note(String jobId, KeyedStream lane, String key) {
    endedSubmissions.seen(jobId, lane, key);
    if (ended.containsKey(jobId)) {
      endedSubmissions.ended(jobId);
    }
  }

  private void accept(String jobId, StoredRecord stored, boolean isAccepted)
      throws MalformedRecordException {
    Submission submission = WorkloadCodec.decodeSubmission(stored.value());
    JobProgress progress = new JobProgress(submission);
    byte[] record = progressRecords.remove(jobId);
    if (record != null) {
      WorkloadCodec.restore(progress, record);
    }
    if (progress.state().isFinal() && progress.placedTasks().isEmpty()) {
      ended.put(jobId, progress.state());
      endedSubmissions.ended(jobId);
      return;
    }
    Job job = new Job(progress, isAccepted);
    jobs.put(jobId, job);
    adoptPlacements(job, sessions.keySet());
    if (!isAccepted) {
      loop.schedule(ANNOUNCED_MS, () -> dropUnlessAccepted(job));
    }
    progress.startDueOccurrences(loop.nowMs());
    if (ready) {
      logger.atInfo().log(
          "job: %s taken on, queue %s, %d steps, offset %d.",
          jobId, submission.policy().queue(), submission.spec().steps().size(), stored.offset());
    }
    if (cancelled.contains(jobId)) {
      cancel(jobId);
    }
    pending.add(job);
    passSoon();
  }

  /** Forgets a job that never reached the store; nothing of it was started. */
  private void dropUnlessAccepted(Job job) {
    if (closed || job.accepted || jobs.get(job.id()) != job) {
      return;
    }
    logger.atInfo().log("job: %s was announced and not stored, dropped.", job.id());
    for (TaskProgress slot : job.progress.placedTasks()) {
      WorkerSession session = sessions.get(String.valueOf(slot.workerId()));
      if (session != null) {
        session.withdraw(slot);
      }
    }
    jobs.remove(job.id());
    pending.remove(job);
    approvals.forget(job.id());
    ledger.touch(job.id(), () -> Entry.tombstone(job.id()).value());
    passSoon();
  }

  private void cancel(String jobId) {
    if (ended.containsKey(jobId)) {
      return;
    }
    cancelled.add(jobId);
    Job job = jobs.get(jobId);
    if (job == null || job.progress.state().isFinal()) {
      return;
    }
    job.progress.cancel();
    logger.atInfo().log("job: %s cancelled, %d runs to stop.", jobId, job.progress.placedTasks().size());
    stopAll(job);
    changed(job);
  }

  private void stopAll(Job job) {
    for (TaskProgress slot : job.progress.placedTasks()) {
      WorkerSession session = sessions.get(String.valueOf(slot.workerId()));
      if (session != null) {
        session.stop(slot);
      }
    }
  }

  // Workers

  private void onWorkers(Map<String, WorkerDescriptor> listed) {
    if (closed) {
      return;
    }
    if (!ready) {
      listedEarly = listed;
      return;
    }
    long firstLeaseEndsNs =
        electedNs
            + TimeUnit.MILLISECONDS.toNanos(
                Math.round(ShardSettings.AUTHORITY_MS * ShardSettings.CLOCK_DRIFT)
                    + ShardSettings.LEASE_SLACK_MS);
    List<String> fresh = new ArrayList<>();
    listed.forEach(
        (id, facts) -> {
          WorkerSession session = sessions.get(id);
          if (session == null) {
            session =
                new WorkerSession(
                    loop, workerPort, this, facts, epoch, settings.leaseMs(), firstLeaseEndsNs);
            sessions.put(id, session);
            fresh.add(id);
          }
        });
    if (!fresh.isEmpty()) {
      adoptPlacements(new HashSet<>(fresh));
    }
    listed.forEach((id, facts) -> sessionOf(id).update(facts));
    for (Map.Entry<String, WorkerSession> entry : sessions.entrySet()) {
      if (!listed.containsKey(entry.getKey())) {
        entry.getValue().update(null);
      }
    }
    sessions.values().removeIf(WorkerSession::isForgettable);
    passSoon();
  }

  private WorkerSession sessionOf(String id) {
    WorkerSession session = sessions.get(id);
    if (session == null) {
      throw new IllegalStateException("no session of worker " + id);
    }
    return session;
  }

  private void adoptPlacements(Set<String> fresh) {
    jobs.values().forEach(job -> adoptPlacements(job, fresh));
  }

  private void adoptPlacements(Job job, Set<String> workers) {
    for (TaskProgress slot : job.progress.placedTasks()) {
      String worker = slot.workerId();
      if (worker != null && workers.contains(worker)) {
        WorkerSession session = sessionOf(worker);
        session.adopt(slot);
        if (job.progress.state().isFinal()) {
          session.stop(slot);
        }
      }
    }
  }

  /** Frees tasks placed on workers that are not listed any more, once their lease has ended. */
  private void freeOrphans() {
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - electedNs);
    if (waitedMs
        < ShardSettings.AUTHORITY_MS * ShardSettings.CLOCK_DRIFT + ShardSettings.LEASE_SLACK_MS) {
      return;
    }
    for (Job job : jobs.values()) {
      for (TaskProgress slot : job.progress.placedTasks()) {
        if (!sessions.containsKey(String.valueOf(slot.workerId()))) {
          logger.atInfo().log(
              "task: %s run %d is gone, its worker %s is not listed and its lease has ended.",
              slot.id(), slot.run(), slot.workerId());
          job.progress.recordRunEnd(slot, TerminationReason.LAPSED, "");
          changed(job);
          pending.add(job);
        }
      }
    }
  }

  @Override
  public void onFenced(String workerId) {
    if (!closed) {
      onSuperseded.accept("worker " + workerId + " follows a newer coordinator");
    }
  }

  @Override
  public void onStarted(Placement placement) {
    Job job = jobs.get(placement.slot().id().jobId());
    if (job != null && job.progress.state() == WorkloadState.QUEUED) {
      job.progress.markRunning();
      metrics.firstStart(loop.nowMs() - job.progress.submission().acceptedAtMs());
      logger.atInfo().log(
          "job: %s runs, first on %s, %d ms after it was accepted.",
          job.id(),
          placement.room().descriptor().id(),
          loop.nowMs() - job.progress.submission().acceptedAtMs());
      changed(job);
    }
  }

  @Override
  public void onNotStarted(Placement placement, Outcome outcome) {
    TaskProgress slot = placement.slot();
    metrics.notStarted(outcome);
    logger.atInfo().log(
        "task: %s run %d not started on %s: %s.",
        slot.id(), placement.run(), placement.room().descriptor().id(), outcome);
    if (outcome == Outcome.BAD_TICKET) {
      approvals.expire(slot.id().stepName(), placement.room().descriptor().id());
    }
    Job job = jobs.get(slot.id().jobId());
    if (job != null && slot.run() == placement.run()) {
      endRun(job, placement, TerminationReason.STOPPED, "");
      job.pausedUntilNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(PAUSE_AFTER_REFUSAL_MS);
    }
  }

  @Override
  public void onEnded(Placement placement, TerminationReason how, String checkpoint) {
    TaskProgress slot = placement.slot();
    WorkerAllocation room = placement.room();
    metrics.ended(how);
    if (how == TerminationReason.FAILED) {
      room.recordFailure();
      if (room.isUnhealthy()) {
        sickSinceNs.putIfAbsent(room.descriptor().id(), loop.nowNs());
        logger.atInfo().log("worker: %s fails what it starts, paused.", room.descriptor().id());
      }
    } else if (how == TerminationReason.DONE && placement.startedNs() != 0 && !slot.spec().gang()) {
      long tookMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - placement.startedNs());
      room.recordSuccess(tookMs, slot.spec().estimatedMs());
    }
    Job job = jobs.get(slot.id().jobId());
    if (job != null && slot.run() == placement.run()) {
      endRun(job, placement, how, checkpoint);
    }
  }

  @Override
  public void onGone(Placement placement, String reason) {
    metrics.gone();
    TaskProgress slot = placement.slot();
    Job job = jobs.get(slot.id().jobId());
    if (job != null && slot.run() == placement.run()) {
      logger.atInfo().log(
          "task: %s run %d on %s is gone: %s.",
          slot.id(), placement.run(), placement.room().descriptor().id(), reason);
      endRun(job, placement, TerminationReason.LAPSED, "");
    }
  }

  private void endRun(Job job, Placement placement, TerminationReason how, String checkpoint) {
    WorkloadState before = job.progress.state();
    job.progress.recordRunEnd(placement.slot(), how, checkpoint);
    WorkloadState after = job.progress.state();
    if (before != after) {
      metrics.jobEnded(after);
      logger.atInfo().log(
          "job: %s %s, %d ms after it was accepted, last run %s %s.",
          job.id(),
          after,
          loop.nowMs() - job.progress.submission().acceptedAtMs(),
          placement.slot().id(),
          how);
      if (after == WorkloadState.FAILED) {
        stopAll(job);
      }
    }
    changed(job);
    if (!after.isFinal()) {
      pending.add(job);
    }
    passSoon();
  }

  private void changed(Job job) {
    touch(job);
    WorkloadState state = job.progress.state();
    boolean over = state.isFinal() && job.progress.placedTasks().isEmpty();
    if (state != job.storedState || over) {
      ledger.afterStored(() -> stored(job, state));
    }
  }

  private void touch(Job job) {
    ledger.touch(job.id(), () -> WorkloadCodec.encodeProgress(job.progress));
  }

  private void stored(Job job, WorkloadState state) {
    job.storedState = state;
    if (state.isFinal() && job.progress.placedTasks().isEmpty()) {
      jobs.remove(job.id());
      pending.remove(job);
      ended.put(job.id(), state);
      endedSubmissions.ended(job.id());
      cancelled.remove(job.id());
      approvals.forget(job.id());
    }
  }

  @Override
  public void afterStored(Runnable task) {
    ledger.afterStored(task);
  }

  @Override
  public void onUsable() {
    passSoon();
  }

  @Override
  public long authorityEndsNs() {
    return authorityEndsNs.get();
  }

  // Questions

  /** Returns whether questions can be answered. */
  boolean isReady() {
    return ready && !closed;
  }

  /** Returns whether the submissions were looked at so recently that a job not seen is unknown. */
  boolean isCurrent() {
    return isReady() && intakes.stream().allMatch(SubmissionReader::isFresh);
  }

  /** Returns how far a job is, as far as that is stored; null for a job that is not known. */
  @Nullable WorkloadState state(String jobId) {
    Job job = jobs.get(jobId);
    return job == null ? ended.get(jobId) : job.storedState;
  }

  /** Returns the number of jobs of a queue of which no task has started. */
  int waiting(String queue) {
    int waiting = 0;
    for (Job job : jobs.values()) {
      if (job.accepted
          && job.progress.state() == WorkloadState.QUEUED
          && job.progress.submission().policy().queue().equals(queue)) {
        waiting++;
      }
    }
    return waiting;
  }

  // Decisions

  private void tick() {
    if (closed) {
      return;
    }
    long nowMs = loop.nowMs();
    for (Job job : jobs.values()) {
      if (job.progress.submission().spec().repetitions() > 0) {
        job.progress.startDueOccurrences(nowMs);
        pending.add(job);
      }
    }
    long nowNs = loop.nowNs();
    sickSinceNs
        .entrySet()
        .removeIf(
            entry -> {
              boolean over =
                  nowNs - entry.getValue() > TimeUnit.MILLISECONDS.toNanos(SICK_PAUSE_MS);
              WorkerSession session = sessions.get(entry.getKey());
              if (over && session != null) {
                session.room().resetFailures();
              }
              return over;
            });
    if (ready) {
      freeOrphans();
      passSoon();
    }
    loop.schedule(TICK_MS, this::tick);
  }

  private void passSoon() {
    if (!passScheduled && ready && !closed) {
      passScheduled = true;
      loop.schedule(PASS_MS, this::pass);
    }
  }

  private void pass() {
    passScheduled = false;
    if (closed) {
      return;
    }
    long nowNs = loop.nowNs();
    long nowMs = loop.nowMs();
    List<Waiting> waiting = new ArrayList<>();
    for (Job job : List.copyOf(pending)) {
      List<StepProgress> readySteps = job.progress.readySteps();
      if (readySteps.isEmpty()) {
        pending.remove(job);
        continue;
      }
      if (nowNs - job.pausedUntilNs < 0) {
        continue;
      }
      for (StepProgress step : readySteps) {
        waiting.add(new Waiting(job, step, Urgency.of(job.progress.submission(), step, nowMs)));
      }
    }
    waiting.sort(Comparator.comparing(Waiting::urgency));
    waiting.forEach(next -> placeStep(next.job(), next.step()));
  }

  private void onApproved(String jobId) {
    Job job = jobs.get(jobId);
    if (job != null) {
      pending.add(job);
      passSoon();
    }
  }

  private void placeStep(Job job, StepProgress step) {
    QueuePolicy policy = job.progress.submission().policy();
    List<WorkerSession> usable = new ArrayList<>();
    for (WorkerSession session : sessions.values()) {
      if (session.isUsable() && session.room().descriptor().service().equals(policy.service())) {
        usable.add(session);
      }
    }
    boolean whole =
        step.spec().gang() ? placeGang(job, step, usable) : placeEach(job, step, usable);
    ApprovalPolicy advicePolicy = policy.approval();
    if (!whole && advicePolicy != null) {
      approvals.ask(job.progress.submission(), step, usable, advicePolicy);
    }
  }

  private boolean placeEach(Job job, StepProgress step, List<WorkerSession> usable) {
    for (TaskProgress slot : step.tasks()) {
      if (slot.phase() != TaskProgress.Phase.IDLE) {
        continue;
      }
      WorkerSession best = choose(job, slot, usable, null);
      if (best == null) {
        return false;
      }
      place(job, slot, best, slot.run() + 1);
    }
    return true;
  }

  private boolean placeGang(Job job, StepProgress step, List<WorkerSession> usable) {
    int run = step.highestRun() + 1;
    // Reserves as it goes, so that members don't count the same room twice; undone if one fails.
    List<WorkerSession> chosen = new ArrayList<>();
    String rack = null;
    for (TaskProgress slot : step.tasks()) {
      WorkerSession best = choose(job, slot, usable, step.spec().sameRack() ? rack : null);
      if (best == null) {
        for (int i = 0; i < chosen.size(); i++) {
          chosen.get(i).room().release(step.tasks().get(i).id(), run);
        }
        return false;
      }
      best.room().reserve(slot.id(), run, slot.spec());
      rack = best.room().descriptor().rack();
      chosen.add(best);
    }
    for (int i = 0; i < chosen.size(); i++) {
      place(job, step.tasks().get(i), chosen.get(i), run);
    }
    return true;
  }

  private @Nullable WorkerSession choose(
      Job job, TaskProgress slot, List<WorkerSession> usable, @Nullable String gangRack) {
    boolean needsTicket = job.progress.submission().policy().approval() != null;
    int priority = job.progress.submission().policy().priority();
    WorkerSession best = null;
    double bestCost = Double.MAX_VALUE;
    for (WorkerSession session : usable) {
      WorkerAllocation room = session.room();
      int keepFree = priority == 0 ? 0 : (int) Math.round(room.descriptor().cpuMillis() * URGENT_SHARE);
      if (needsTicket && approvals.ticket(slot.id().stepName(), room.descriptor().id()) == null) {
        continue;
      }
      if (!room.fits(slot, keepFree)) {
        continue;
      }
      double cost = room.cost(slot, gangRack);
      if (cost < bestCost) {
        best = session;
        bestCost = cost;
      }
    }
    return best;
  }

  private void place(Job job, TaskProgress slot, WorkerSession session, int run) {
    String worker = session.room().descriptor().id();
    slot.place(worker, run);
    Placement placement = session.add(slot);
    String ticket = approvals.ticket(slot.id().stepName(), worker);
    touch(job);
    ledger.afterStored(() -> send(job, session, placement, ticket));
  }

  private void send(Job job, WorkerSession session, Placement placement, @Nullable String ticket) {
    if (!session.holds(placement)) {
      return;
    }
    if (!job.accepted && !closed) {
      job.heldOrders.add(() -> send(job, session, placement, ticket));
      return;
    }
    if (closed || placement.isStopping() || job.progress.state().isFinal()) {
      session.withdraw(placement);
      if (!closed) {
        endRun(job, placement, TerminationReason.STOPPED, "");
      }
      return;
    }
    String payload = job.progress.submission().spec().payload();
    metrics.started();
    session.start(placement, payload, ticket);
  }
}
