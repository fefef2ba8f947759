package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.workload.CrashEvidence;
import org.hickorymoor.domain.workload.CrashTolerance;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskId;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.Urgency;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.hickorymoor.domain.workload.WorkloadState;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the jobs of the cell while this host is the coordinator.
 *
 * <p>A placement is stored before its start request is sent, and the end of a run is stored before
 * the worker may discard it. A successor can therefore tell from the store where each task may be
 * running and which tasks have succeeded. Not thread-safe; confined to the event loop thread.
 */
final class JobScheduler implements WorkerSession.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Writer name of the ledger; shared by all coordinators, so that a newer epoch fences older ones.
   */
  private static final String WRITER = "coordinator";

  /**
   * Delay between an event and the placement pass that it triggers, so that one pass serves many
   * events.
   */
  private static final long PLACEMENT_DELAY_MS = 4;

  /** Interval at which due repetitions, paused workers and orphaned tasks are checked. */
  private static final long TICK_INTERVAL_MS = 250;

  /** How long a worker whose last runs all failed gets no new runs. */
  private static final long FAILING_WORKER_PAUSE_MS = 5_000;

  /** Wait before a job is placed again after one of its runs was not started. */
  private static final long REFUSED_START_BACKOFF_MS = 100;

  /** Wait before a job whose placement failed unexpectedly is placed again. */
  private static final long FAILED_PASS_BACKOFF_MS = 1_000;

  /**
   * How long an announced job may stay without being stored. A host gives up on a request within 3
   * seconds, and its append may still complete later; a job stored after this time is added when
   * its record is read from the store.
   */
  private static final long ANNOUNCED_JOB_TTL_MS = 5_000;

  private static final long NO_OFFSET = -1;

  private final ShardEventLoop loop;
  private final ShardMetrics metrics;
  private final KeyedLogPort log;
  private final TaskWorkerPort workerPort;
  private final ShardSettings settings;
  private final long epoch;
  private final Supplier<Long> coordinatorLeaseEndsNs;
  private final WorkerCatalog catalog;
  private final ApprovalDispatcher approvalDispatcher;
  private final LedgerWriter ledger;
  private final LeaseBounds leaseBounds;
  private final HostStarts hostStarts;
  private final Consumer<String> onSuperseded;
  private final long electedNs;
  private final Map<String, ScheduledJob> jobs = new HashMap<>();
  private final Map<String, WorkloadState> endedJobs = new HashMap<>();
  private final Set<String> cancelledJobs = new HashSet<>();
  private final Set<ScheduledJob> pendingJobs = new LinkedHashSet<>();
  private final Map<String, WorkerSession> sessions = new HashMap<>();
  private final ApprovalCache approvals;
  private final CustomerAccounting customers;
  private final StepPlacer placer;
  private final RunStarter starter;
  private final StepUrgency urgency;
  private final List<TaskListener> taskListeners = new ArrayList<>();
  private final LearnedRunTimes runTimes;
  private final Map<String, Long> failingSinceNs = new HashMap<>();
  private final CrashTolerance crashTolerance = new CrashTolerance();
  private final Map<String, byte[]> progressRecords = new HashMap<>();

  /** When the latest run of a task was lost, by task, until its next run starts. */
  private final Map<TaskId, Long> lostSinceNs = new HashMap<>();

  private final List<SubmissionReader> submissionReaders;
  private final EndedSubmissionCleaner submissionCleaner;
  private int partitionsLoaded;
  private boolean progressLoaded;
  private @Nullable Map<String, WorkerDescriptor> workersBeforeReady;
  private boolean workersKnown;

  /** Workers that are not listed, whose runs are kept until their leases must have ended. */
  private final Set<String> unlistedWorkers = new HashSet<>();

  private final AdmissionBacklog backlog;
  private final AdmissionControl admission;
  private final PlacementPreview preview;
  private boolean ready;
  private boolean closed;
  private boolean placementScheduled;
  private final PassPacer placementPacer;

  JobScheduler(
      ShardEventLoop loop,
      KeyedLogPort log,
      TaskWorkerPort workerPort,
      ShardSettings settings,
      long epoch,
      Supplier<Long> coordinatorLeaseEndsNs,
      HeartbeatHistory heartbeats,
      HostStarts hostStarts,
      WorkerCatalog catalog,
      ApprovalDispatcher approvalDispatcher,
      ShardMetrics metrics,
      Supplier<@Nullable CustomerDirectory> customerDirectory,
      Consumer<String> onSuperseded) {
    this.loop = loop;
    this.metrics = metrics;
    this.electedNs = loop.nowNs();
    this.placementPacer = new PassPacer(loop, PLACEMENT_DELAY_MS);
    this.log = log;
    this.workerPort = workerPort;
    this.settings = settings;
    this.epoch = epoch;
    this.coordinatorLeaseEndsNs = coordinatorLeaseEndsNs;
    this.catalog = catalog;
    this.approvalDispatcher = approvalDispatcher;
    this.approvals = new ApprovalCache(loop, approvalDispatcher, this::onApproved);
    this.customers =
        new CustomerAccounting(
            loop,
            customerDirectory,
            () -> sessions.values().stream().map(session -> session.allocation().descriptor()),
            metrics);
    this.taskListeners.add(customers);
    this.submissionReaders =
        KeyedStream.submissionPartitions().stream()
            .map(partition -> new SubmissionReader(loop, log, partition, this::onSubmissionRecord))
            .toList();
    this.submissionCleaner = new EndedSubmissionCleaner(loop, log);
    this.onSuperseded = onSuperseded;
    this.ledger =
        new LedgerWriter(
            loop,
            log,
            WRITER,
            epoch,
            metrics,
            () -> onSuperseded.accept("the ledger has a newer epoch"));
    this.runTimes = new LearnedRunTimes(loop, ledger, metrics, settings.runTimes());
    this.taskListeners.add(new RunObserver(loop, runTimes));
    this.urgency =
        (submission, step) ->
            Urgency.of(submission, step, loop.nowMs(), runTimes, customers.shareRank(submission));
    this.starter = new RunStarter(sessions, approvals, metrics, () -> closed, this::onWithdrawn);
    this.placer =
        new StepPlacer(
            sessions,
            approvals,
            customers,
            this::place,
            new WideTaskReservations(loop, jobs::get, runTimes));
    this.hostStarts = hostStarts;
    this.leaseBounds = new LeaseBounds(loop, ledger, heartbeats, epoch);
    this.backlog = new AdmissionBacklog(runTimes, loop::nowMs);
    this.admission =
        new AdmissionControl(
            loop, backlog, new AdmissionCell(), customerDirectory, customers::rankIfAccepted);
    this.taskListeners.add(backlog);
    this.preview =
        new PlacementPreview(
            loop,
            epoch,
            new AdmissionCell(),
            sessions.values(),
            pendingJobs,
            customers,
            customerDirectory,
            runTimes,
            placer,
            admission);
  }

  /** Fences earlier coordinators and loads progress, submissions and workers. */
  void start() {
    ledger.open(this::loadProgress);
    // A submission can be added only once the stored progress of its job is known.
    submissionReaders.forEach(SubmissionReader::startBuffering);
    submissionReaders.forEach(reader -> reader.start(this::onPartitionLoaded));
    catalog.start(this::onWorkers);
    loop.schedule(TICK_INTERVAL_MS, this::tick);
  }

  /** Stops immediately: from now on sends no requests, renews no leases and stores nothing. */
  void close() {
    closed = true;
    ledger.close();
    approvalDispatcher.close();
    catalog.close();
    submissionReaders.forEach(SubmissionReader::close);
    submissionCleaner.close();
    sessions.values().forEach(WorkerSession::close);
    sessions.clear();
    customers.close();
  }

  // Loading

  private void loadProgress() {
    LatestRecordReader.read(
        loop,
        log,
        KeyedStream.LEDGER,
        new LatestRecordReader.Handler() {
          @Override
          public boolean isClosed() {
            return closed;
          }

          @Override
          public void onRecord(StoredRecord stored) {
            if (LeaseBounds.isBound(stored.key())) {
              leaseBounds.restore(stored.key(), stored.value());
            } else if (LearnedRunTimes.isRecord(stored.key())) {
              runTimes.restore(stored.value());
            } else {
              progressRecords.put(stored.key(), stored.value());
            }
          }

          @Override
          public void onComplete(long endOffset) {
            progressLoaded = true;
            submissionReaders.forEach(SubmissionReader::stopBuffering);
            completeTakeoverIfLoaded();
          }
        });
  }

  private void onPartitionLoaded() {
    partitionsLoaded++;
    completeTakeoverIfLoaded();
  }

  private void completeTakeoverIfLoaded() {
    if (progressLoaded && partitionsLoaded == submissionReaders.size() && !ready) {
      completeTakeover();
    }
  }

  private void completeTakeover() {
    metrics.takeoverCompleted(TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - electedNs));
    progressRecords.forEach(this::restoreEnded);
    // The remaining progress records belong to jobs whose submissions are yet to be read.
    progressRecords.keySet().removeAll(jobs.keySet());
    progressRecords.keySet().removeAll(endedJobs.keySet());
    ready = true;
    admission.start();
    logger.atInfo().log(
        "shard: Took over in %d ms, epoch %d: %d open jobs, %d ended.",
        TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - electedNs),
        epoch,
        jobs.size(),
        endedJobs.size());
    submissionCleaner.start();
    if (workersBeforeReady != null) {
      onWorkers(workersBeforeReady, Set.of());
      workersBeforeReady = null;
    }
    schedulePlacement();
  }

  /** Keeps the final state of a job whose submission is no longer stored. */
  private void restoreEnded(String jobId, byte[] record) {
    if (jobs.containsKey(jobId) || endedJobs.containsKey(jobId)) {
      return;
    }
    try {
      WorkloadState state = WorkloadCodec.decodeState(record);
      if (state.isFinal()) {
        endedJobs.put(jobId, state);
        submissionCleaner.jobEnded(jobId);
      }
    } catch (MalformedRecordException e) {
      logger.atFine().log("shard: Ledger record %s is not the progress of a job, ignored.", jobId);
    }
  }

  private void onSubmissionRecord(KeyedStream partition, StoredRecord stored) {
    if (stored.isTombstone()) {
      return;
    }
    String cancelledId = SubmissionKeys.cancelledJob(stored.key());
    if (cancelledId != null) {
      trackSubmissionRecord(cancelledId, partition, stored.key());
      cancel(cancelledId);
      return;
    }
    String jobId = SubmissionKeys.submittedJob(stored.key());
    if (jobId == null) {
      return;
    }
    trackSubmissionRecord(jobId, partition, stored.key());
    onSubmission(jobId, stored, true);
  }

  /**
   * Adds a job that a host is about to store or has just stored. Its tasks are placed immediately,
   * but none is started before the job is stored.
   *
   * @param key key of the submission record
   * @param value content of the submission record
   * @param isStored whether the record is stored
   */
  void onAnnounced(String key, byte[] value, boolean isStored) {
    String jobId = SubmissionKeys.submittedJob(key);
    if (jobId != null) {
      admission.onAnnounced(jobId);
    }
    if (ready && !closed && jobId != null) {
      onSubmission(jobId, new StoredRecord(NO_OFFSET, key, value), isStored);
    }
  }

  private void onSubmission(String jobId, StoredRecord stored, boolean isAccepted) {
    ScheduledJob existing = jobs.get(jobId);
    if (existing != null && isAccepted && !existing.accepted) {
      existing.accepted = true;
      List.copyOf(existing.deferredStarts).forEach(Runnable::run);
      existing.deferredStarts.clear();
    }
    if (existing != null || endedJobs.containsKey(jobId)) {
      return;
    }
    try {
      addJob(jobId, stored, isAccepted);
    } catch (MalformedRecordException e) {
      logger.atWarning().withCause(e).log(
          "shard: Submission %s at offset %d is malformed, ignored.", jobId, stored.offset());
    }
  }

  private void trackSubmissionRecord(String jobId, KeyedStream partition, String key) {
    submissionCleaner.recordSeen(jobId, partition, key);
    if (endedJobs.containsKey(jobId)) {
      submissionCleaner.jobEnded(jobId);
    }
  }

  private void addJob(String jobId, StoredRecord stored, boolean isAccepted)
      throws MalformedRecordException {
    Submission submission = WorkloadCodec.decodeSubmission(stored.value());
    JobProgress progress = new JobProgress(submission);
    byte[] record = progressRecords.remove(jobId);
    if (record != null) {
      WorkloadCodec.restore(progress, record);
    }
    if (progress.state().isFinal() && progress.placedTasks().isEmpty()) {
      endedJobs.put(jobId, progress.state());
      submissionCleaner.jobEnded(jobId);
      return;
    }
    ScheduledJob job = new ScheduledJob(progress, isAccepted);
    jobs.put(jobId, job);
    taskListeners.forEach(listener -> listener.onJobOpened(job));
    if (!progress.state().isFinal()) {
      backlog.add(progress, stored.value().length);
    }
    progress.placedTasks().forEach(task -> notifyPlaced(job, task));
    adoptPlacements(job, sessions.keySet());
    if (!isAccepted) {
      loop.schedule(ANNOUNCED_JOB_TTL_MS, () -> dropUnlessAccepted(job));
    }
    progress.startDueOccurrences(loop.nowMs());
    backlog.addOccurrences(progress);
    if (ready) {
      logger.atInfo().log(
          "job: %s added, queue %s, %d steps, offset %d.",
          jobId, submission.policy().queue(), submission.spec().steps().size(), stored.offset());
    }
    if (cancelledJobs.contains(jobId)) {
      cancel(jobId);
    }
    pendingJobs.add(job);
    schedulePlacement();
  }

  /** Removes a job whose submission never reached the store; none of its runs was started. */
  private void dropUnlessAccepted(ScheduledJob job) {
    if (closed || job.accepted || jobs.get(job.id()) != job) {
      return;
    }
    logger.atInfo().log("job: %s was announced but not stored, removed.", job.id());
    for (TaskProgress task : job.progress.placedTasks()) {
      WorkerSession session = sessions.get(String.valueOf(task.workerId()));
      if (session != null) {
        session.withdraw(task);
      }
      notifyReleased(job, task);
    }
    jobs.remove(job.id());
    taskListeners.forEach(listener -> listener.onJobClosed(job));
    backlog.remove(job.id());
    pendingJobs.remove(job);
    approvals.removeJob(job.id());
    ledger.markDirty(job.id(), () -> Entry.tombstone(job.id()).value());
    schedulePlacement();
  }

  private void cancel(String jobId) {
    if (endedJobs.containsKey(jobId)) {
      return;
    }
    cancelledJobs.add(jobId);
    ScheduledJob job = jobs.get(jobId);
    if (job == null || job.progress.state().isFinal()) {
      return;
    }
    job.progress.cancel();
    logger.atInfo().log(
        "job: %s cancelled, %d runs to stop.", jobId, job.progress.placedTasks().size());
    stopAllRuns(job);
    onProgressChanged(job);
  }

  private void stopAllRuns(ScheduledJob job) {
    for (TaskProgress task : job.progress.placedTasks()) {
      WorkerSession session = sessions.get(String.valueOf(task.workerId()));
      if (session != null) {
        session.stop(task);
      }
    }
  }

  // Workers

  private void onWorkers(Map<String, WorkerDescriptor> listed, Set<String> departed) {
    if (closed) {
      return;
    }
    if (!ready) {
      workersBeforeReady = listed;
      return;
    }
    workersKnown = true;
    List<String> newWorkers = new ArrayList<>();
    listed.forEach(
        (id, descriptor) -> {
          WorkerSession session = sessions.get(id);
          if (session == null) {
            session =
                new WorkerSession(loop, workerPort, this, descriptor, epoch, settings, leaseBounds);
            sessions.put(id, session);
            newWorkers.add(id);
          }
        });
    if (!newWorkers.isEmpty()) {
      adoptPlacements(new HashSet<>(newWorkers));
    }
    listed.forEach((id, descriptor) -> sessionOf(id).update(descriptor));
    sessions.forEach(
        (id, session) -> {
          if (!listed.containsKey(id)) {
            session.onUnlisted(departed.contains(id));
          }
        });
    sessions
        .values()
        .removeIf(
            session -> {
              boolean removable = session.isRemovable();
              if (removable) {
                session.close();
              }
              return removable;
            });
    schedulePlacement();
  }

  private WorkerSession sessionOf(String id) {
    WorkerSession session = sessions.get(id);
    if (session == null) {
      throw new IllegalStateException("no session of worker " + id);
    }
    return session;
  }

  private void adoptPlacements(Set<String> newWorkers) {
    jobs.values().forEach(job -> adoptPlacements(job, newWorkers));
  }

  private void adoptPlacements(ScheduledJob job, Set<String> workers) {
    for (TaskProgress task : job.progress.placedTasks()) {
      String worker = task.workerId();
      if (worker != null && workers.contains(worker)) {
        WorkerSession session = sessionOf(worker);
        session.adopt(task);
        if (job.progress.state().isFinal()) {
          session.stop(task);
        }
      }
    }
  }

  /**
   * Treats runs on workers that are not listed under this coordinator as lost once their leases
   * must have ended.
   */
  private void releaseOrphanedTasks() {
    if (!workersKnown) {
      return;
    }
    Map<String, Integer> keptRuns = new HashMap<>();
    for (ScheduledJob job : jobs.values()) {
      for (TaskProgress task : job.progress.placedTasks()) {
        String worker = String.valueOf(task.workerId());
        if (sessions.containsKey(worker)) {
          continue;
        }
        if (loop.nowNs() - leaseBounds.formerLeaseEndsNs(worker) > 0) {
          releaseOrphanedTask(job, task);
        } else {
          keptRuns.merge(worker, 1, Integer::sum);
        }
      }
    }
    unlistedWorkers.retainAll(keptRuns.keySet());
    keptRuns.forEach(this::keepRunsOfUnlisted);
    leaseBounds.removeIf(worker -> !sessions.containsKey(worker) && !keptRuns.containsKey(worker));
  }

  private void releaseOrphanedTask(ScheduledJob job, TaskProgress task) {
    logger.atInfo().log(
        "task: %s run %d lost: worker %s is not listed and its lease has expired.",
        task.id(), task.run(), task.workerId());
    metrics.runLost(TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - electedNs));
    lostSinceNs.put(task.id(), loop.nowNs());
    recordRunEnd(job, task, TerminationReason.LAPSED, "");
    onProgressChanged(job);
    pendingJobs.add(job);
  }

  private void keepRunsOfUnlisted(String worker, int runs) {
    if (unlistedWorkers.add(worker)) {
      long keptNs = leaseBounds.formerLeaseEndsNs(worker) - loop.nowNs();
      logger.atInfo().log(
          "worker: %s is not listed, its %d runs are kept for %d ms.",
          worker, runs, TimeUnit.NANOSECONDS.toMillis(keptNs));
    }
    leaseBounds.storeFormer(worker);
  }

  @Override
  public void onFenced(String workerId) {
    if (!closed) {
      onSuperseded.accept("worker " + workerId + " has seen a higher fencing token");
    }
  }

  @Override
  public void onRunStarted(Placement placement) {
    Long lostNs = lostSinceNs.remove(placement.task().id());
    if (lostNs != null) {
      metrics.runRestarted(TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - lostNs));
    }
    ScheduledJob job = jobs.get(placement.task().id().jobId());
    if (job != null) {
      taskListeners.forEach(listener -> listener.onRunStarted(job, placement));
    }
    if (job != null && job.progress.state() == WorkloadState.QUEUED) {
      job.progress.markRunning();
      metrics.jobStarted(loop.nowMs() - job.progress.submission().acceptedAtMs());
      logger.atInfo().log(
          "job: %s started, first on %s, %d ms after it was accepted.",
          job.id(),
          placement.allocation().descriptor().id(),
          loop.nowMs() - job.progress.submission().acceptedAtMs());
      onProgressChanged(job);
    }
  }

  @Override
  public void onRunNotStarted(Placement placement, Outcome outcome) {
    TaskProgress task = placement.task();
    metrics.runNotStarted(outcome);
    logger.atInfo().log(
        "task: %s run %d not started on %s: %s.",
        task.id(), placement.run(), placement.allocation().descriptor().id(), outcome);
    if (outcome == Outcome.BAD_TICKET) {
      approvals.expire(task.id().stepName(), placement.allocation().descriptor().id());
    }
    ScheduledJob job = jobs.get(task.id().jobId());
    if (job != null && task.run() == placement.run()) {
      endRun(job, placement, TerminationReason.STOPPED, "");
      job.backoffUntilNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(REFUSED_START_BACKOFF_MS);
    }
  }

  @Override
  public void onRunEnded(Placement placement, TerminationReason endKind, String checkpoint) {
    TaskProgress task = placement.task();
    final ScheduledJob job = jobs.get(task.id().jobId());
    WorkerAllocation allocation = placement.allocation();
    metrics.runEnded(endKind);
    if (endKind == TerminationReason.DONE || endKind == TerminationReason.FAILED) {
      task.recordSurvivedStart(placement.run());
    }
    if (endKind == TerminationReason.FAILED) {
      allocation.recordFailure();
      if (allocation.isUnhealthy()) {
        failingSinceNs.putIfAbsent(allocation.descriptor().id(), loop.nowNs());
        logger.atInfo().log(
            "worker: %s paused, its last runs all failed.", allocation.descriptor().id());
      }
    } else if (endKind == TerminationReason.DONE
        && placement.startedNs() != 0
        && !task.spec().gang()) {
      long tookMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - placement.startedNs());
      long expectedMs =
          job != null && RunObserver.hasKnownTime(placement)
              ? runTimes.expectedRunMs(job.submission(), placement)
              : 0;
      allocation.recordSuccess(tookMs, expectedMs);
    }
    if (job != null && task.run() == placement.run()) {
      taskListeners.forEach(listener -> listener.onRunEnded(job, placement, endKind));
      endRun(job, placement, endKind, checkpoint);
    }
  }

  @Override
  public void onWorkerCrashed(boolean wasStartingRuns) {
    metrics.workerCrashed(wasStartingRuns);
    if (!wasStartingRuns) {
      crashTolerance.recordUnexplainedCrash(loop.nowNs());
    }
  }

  @Override
  public void onCrashSuspected(Placement placement, CrashEvidence evidence) {
    TaskProgress task = placement.task();
    ScheduledJob job = jobs.get(task.id().jobId());
    if (job == null || job.progress.state().isFinal()) {
      return;
    }
    job.progress.recordWorkerCrash(task, placement.run(), evidence, crashTolerance, loop.nowNs());
    metrics.crashSuspected();
    logger.atInfo().log(
        "task: %s run %d suspected of the crash of its worker %s (%s), %d crashes in a row,"
            + " %d confirmed, weight %d of %d.",
        task.id(),
        placement.run(),
        placement.allocation().descriptor().id(),
        evidence,
        task.suspectedCrashes(),
        task.confirmedCrashes(),
        task.crashWeight(),
        crashTolerance.requiredWeight(loop.nowNs()));
    if (job.progress.state() == WorkloadState.FAILED) {
      onJobEnded(job, task.id() + " has crashed its workers");
    }
    onProgressChanged(job);
  }

  @Override
  public void onStartSurvived(Placement placement) {
    TaskProgress task = placement.task();
    if (task.run() == placement.run()) {
      task.recordSurvivedStart(placement.run());
      schedulePlacement();
    }
  }

  @Override
  public void onRunLost(Placement placement, String reason, long silentMs) {
    metrics.runLost(silentMs);
    TaskProgress task = placement.task();
    ScheduledJob job = jobs.get(task.id().jobId());
    if (job != null && task.run() == placement.run()) {
      lostSinceNs.put(task.id(), loop.nowNs());
      logger.atInfo().log(
          "task: %s run %d on %s lost: %s.",
          task.id(), placement.run(), placement.allocation().descriptor().id(), reason);
      taskListeners.forEach(listener -> listener.onRunLost(job, placement, silentMs));
      endRun(job, placement, TerminationReason.LAPSED, "");
    }
  }

  @Override
  public OptionalLong remainingMs(Placement placement, long elapsedMs) {
    ScheduledJob job = jobs.get(placement.task().id().jobId());
    return job == null
        ? OptionalLong.empty()
        : runTimes.remainingMs(job.submission(), placement, elapsedMs);
  }

  private void endRun(
      ScheduledJob job, Placement placement, TerminationReason endKind, String checkpoint) {
    WorkloadState before = job.progress.state();
    recordRunEnd(job, placement.task(), endKind, checkpoint);
    WorkloadState after = job.progress.state();
    if (before != after) {
      onJobEnded(job, "last run " + placement.task().id() + " " + endKind);
    }
    onProgressChanged(job);
    if (!after.isFinal()) {
      pendingJobs.add(job);
    }
    schedulePlacement();
  }

  /** Records the end of a run; the end of one member of a gang may release all of them. */
  private void recordRunEnd(
      ScheduledJob job, TaskProgress task, TerminationReason endKind, String checkpoint) {
    List<TaskProgress> placed =
        job.progress.steps(task.id().occurrence()).get(task.id().step()).tasks().stream()
            .filter(member -> member.phase() == TaskProgress.Phase.PLACED)
            .toList();
    job.progress.recordRunEnd(task, endKind, checkpoint);
    for (TaskProgress member : placed) {
      if (member.phase() != TaskProgress.Phase.PLACED) {
        notifyReleased(job, member);
      }
    }
  }

  private void notifyPlaced(ScheduledJob job, TaskProgress task) {
    taskListeners.forEach(listener -> listener.onTaskPlaced(job, task));
  }

  private void notifyReleased(ScheduledJob job, TaskProgress task) {
    taskListeners.forEach(listener -> listener.onTaskReleased(job, task));
  }

  private void onJobEnded(ScheduledJob job, String cause) {
    WorkloadState state = job.progress.state();
    metrics.jobEnded(state);
    logger.atInfo().log(
        "job: %s %s, %d ms after it was accepted, %s.",
        job.id(), state, loop.nowMs() - job.progress.submission().acceptedAtMs(), cause);
    if (state == WorkloadState.FAILED) {
      stopAllRuns(job);
    }
  }

  private void onProgressChanged(ScheduledJob job) {
    markDirty(job);
    WorkloadState state = job.progress.state();
    if (state.isFinal()) {
      backlog.remove(job.id());
    }
    boolean expired = state.isFinal() && job.progress.placedTasks().isEmpty();
    if (state != job.storedState || expired) {
      ledger.runAfterStored(() -> onProgressStored(job, state));
    }
  }

  private void markDirty(ScheduledJob job) {
    ledger.markDirty(job.id(), () -> WorkloadCodec.encodeProgress(job.progress));
  }

  private void onProgressStored(ScheduledJob job, WorkloadState state) {
    job.storedState = state;
    if (state.isFinal() && job.progress.placedTasks().isEmpty()) {
      if (jobs.remove(job.id()) != null) {
        taskListeners.forEach(listener -> listener.onJobClosed(job));
      }
      pendingJobs.remove(job);
      endedJobs.put(job.id(), state);
      submissionCleaner.jobEnded(job.id());
      cancelledJobs.remove(job.id());
      approvals.removeJob(job.id());
      lostSinceNs.keySet().removeIf(task -> task.jobId().equals(job.id()));
    }
  }

  @Override
  public void runAfterStored(Runnable task) {
    ledger.runAfterStored(task);
  }

  @Override
  public void onWorkerSchedulable() {
    schedulePlacement();
  }

  @Override
  public long coordinatorLeaseEndsNs() {
    return coordinatorLeaseEndsNs.get();
  }

  // Queries

  /** Returns whether the takeover is complete, so that queries can be answered. */
  boolean isReady() {
    return ready && !closed;
  }

  /**
   * Returns whether all submissions were read recently enough that a job not found does not exist.
   */
  boolean hasFreshSubmissions() {
    return isReady() && submissionReaders.stream().allMatch(SubmissionReader::isFresh);
  }

  /** Returns the last stored state of a job, or null if the job is unknown. */
  @Nullable WorkloadState state(String jobId) {
    ScheduledJob job = jobs.get(jobId);
    return job == null ? endedJobs.get(jobId) : job.storedState;
  }

  /** Returns the number of stored jobs of a queue of which no task has started. */
  int queuedJobs(String queue) {
    int queued = 0;
    for (ScheduledJob job : jobs.values()) {
      if (job.accepted
          && job.progress.state() == WorkloadState.QUEUED
          && job.progress.submission().policy().queue().equals(queue)) {
        queued++;
      }
    }
    return queued;
  }

  /** Returns the control that decides which jobs are accepted while this host coordinates. */
  AdmissionControl admission() {
    return admission;
  }

  /** Returns the preview of where jobs would be placed. */
  PlacementPreview preview() {
    return preview;
  }

  /** Shows the admission control the state of this scheduler. */
  private final class AdmissionCell implements AdmissionControl.Cell {

    @Override
    public Stream<WorkerAllocation> schedulableWorkers() {
      return sessions.values().stream()
          .filter(WorkerSession::isSchedulable)
          .map(WorkerSession::allocation);
    }

    @Override
    public boolean isKnown(String jobId) {
      return jobs.containsKey(jobId)
          || endedJobs.containsKey(jobId)
          || cancelledJobs.contains(jobId);
    }

    @Override
    public boolean hasFreshSubmissions() {
      return JobScheduler.this.hasFreshSubmissions();
    }

    @Override
    public long submissionsAgeMs() {
      return submissionReaders.stream().mapToLong(SubmissionReader::readAgeMs).max().orElse(0);
    }
  }

  // Placement

  private void tick() {
    if (closed) {
      return;
    }
    loop.schedule(TICK_INTERVAL_MS, this::tick);
    long nowMs = loop.nowMs();
    for (ScheduledJob job : jobs.values()) {
      if (job.progress.submission().spec().repetitions() > 0) {
        job.progress.startDueOccurrences(nowMs);
        backlog.addOccurrences(job.progress);
        pendingJobs.add(job);
      }
    }
    long nowNs = loop.nowNs();
    failingSinceNs
        .entrySet()
        .removeIf(
            entry -> {
              boolean expired =
                  nowNs - entry.getValue() > TimeUnit.MILLISECONDS.toNanos(FAILING_WORKER_PAUSE_MS);
              WorkerSession session = sessions.get(entry.getKey());
              if (expired && session != null) {
                session.allocation().resetFailures();
              }
              return expired;
            });
    if (ready) {
      releaseOrphanedTasks();
      sessions.values().forEach(WorkerSession::checkLease);
      leaseBounds.storeFormerTerms();
      if (!unlistedWorkers.isEmpty()
          || sessions.values().stream().anyMatch(WorkerSession::awaitsFormerLease)) {
        // The wait is shorter if the process of a former coordinator has ended.
        hostStarts.refresh();
      }
      schedulePlacement();
    }
  }

  private void schedulePlacement() {
    if (!placementScheduled && ready && !closed) {
      placementScheduled = true;
      loop.schedule(placementPacer.delayMs(), this::placeReadySteps);
    }
  }

  private void placeReadySteps() {
    placementScheduled = false;
    if (closed) {
      return;
    }
    placementPacer.passBegan();
    customers.beginPass();
    long nowNs = loop.nowNs();
    List<ReadyStep> candidates = new ArrayList<>();
    for (ScheduledJob job : List.copyOf(pendingJobs)) {
      List<StepProgress> readySteps = job.progress.readySteps();
      if (readySteps.isEmpty()) {
        pendingJobs.remove(job);
        continue;
      }
      if (nowNs - job.backoffUntilNs < 0) {
        continue;
      }
      for (StepProgress step : readySteps) {
        candidates.add(new ReadyStep(job, step, urgency.of(job.submission(), step)));
      }
    }
    candidates.sort(Comparator.comparing(ReadyStep::urgency));
    placer.beginPass();
    for (ReadyStep next : candidates) {
      boolean placed =
          ShardEventLoop.runIsolated(() -> placer.place(next), "step " + next.step().name());
      if (!placed) {
        next.job().backoffUntilNs = nowNs + TimeUnit.MILLISECONDS.toNanos(FAILED_PASS_BACKOFF_MS);
      }
    }
    customers.endPass();
    placementPacer.passEnded();
  }

  private void onApproved(String jobId) {
    ScheduledJob job = jobs.get(jobId);
    if (job != null) {
      pendingJobs.add(job);
      schedulePlacement();
    }
  }

  private void place(ScheduledJob job, TaskProgress task, WorkerSession session, int run) {
    String worker = session.allocation().descriptor().id();
    task.place(worker, run);
    notifyPlaced(job, task);
    Placement placement = session.add(task);
    markDirty(job);
    ledger.runAfterStored(() -> starter.start(job, session, placement));
  }

  private void onWithdrawn(ScheduledJob job, Placement placement) {
    if (!closed) {
      endRun(job, placement, TerminationReason.STOPPED, "");
    }
  }
}
