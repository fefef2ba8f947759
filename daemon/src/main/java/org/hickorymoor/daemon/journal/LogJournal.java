package org.hickorymoor.daemon.journal;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorymoor.daemon.coordinator.JobJournal;
import org.hickorymoor.daemon.coordinator.JournalException;
import org.hickorymoor.daemon.coordinator.JournalException.Type;
import org.hickorymoor.daemon.stream.AppendFailedException;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.FollowerStatus;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.ledger.JobLedger;
import org.hickorymoor.domain.ledger.KeyClaim;
import org.hickorymoor.domain.ledger.KeyLedger;
import org.hickorymoor.domain.ledger.LedgerEntry;
import org.hickorymoor.domain.ledger.LedgerJob;
import org.hickorymoor.protocol.platform.EndedTask;
import org.jspecify.annotations.Nullable;

/**
 * Records jobs in the platform's log: key claims in a stream shared by all failure domains, and all
 * other entries in a stream of the failure domain.
 *
 * <p>Every entry host of the domain follows both streams, so that the next coordinator knows what
 * the previous one recorded. Thread-safe.
 */
public final class LogJournal implements JobJournal {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String KEY_STREAM = "keys";
  private static final String JOB_STREAM_PREFIX = "jobs.";
  private static final long APPEND_TIMEOUT_MS = 3_000;
  private static final long MAX_READ_AGE_MS = 4_000;
  private static final long REAPPEND_CHECK_MS = 500;
  private static final int MAX_FINISHED = 4_000;
  private static final int REAPPENDS_PER_RETENTION = 4;

  private final String hostId;
  private final String domain;
  private final Supplier<JournalSettings> settings;
  private final LongSupplier wallClockMs;
  private final StreamContext context;
  private final LedgerStream<KeyLedger> keys;
  private final LedgerStream<JobLedger> jobs;
  private volatile String termId = "";
  private volatile boolean termConfirmed;
  private volatile boolean termStarting;
  private volatile long lastReappendMs;

  /**
   * Creates a journal; call {@link #start} to follow the streams.
   *
   * @param hostId id of this host
   * @param domain failure domain
   * @param incarnation id of this run of the process; changes with every start
   * @param settings current retention settings
   * @param context the log, timers and clock
   * @param budget append rate limit shared by the process
   * @param wallClockMs wall-clock time in ms since 1970
   */
  public LogJournal(
      String hostId,
      String domain,
      String incarnation,
      Supplier<JournalSettings> settings,
      StreamContext context,
      AppendRateLimiter budget,
      LongSupplier wallClockMs) {
    this.hostId = hostId;
    this.domain = domain;
    this.settings = settings;
    this.wallClockMs = wallClockMs;
    this.context = context;
    this.lastReappendMs = context.nowMs();
    this.keys =
        new LedgerStream<>(
            context,
            KEY_STREAM,
            incarnation,
            budget,
            new KeyLedger(() -> settings.get().dedupeWindowMs()),
            (ledger, entry) -> ledger.apply(LedgerJson.readClaim(entry)));
    this.jobs =
        new LedgerStream<>(
            context,
            JOB_STREAM_PREFIX + domain,
            incarnation,
            budget,
            new JobLedger(MAX_FINISHED),
            (ledger, entry) -> ledger.apply(LedgerJson.read(entry)));
  }

  /** Starts following the streams. */
  public void start() {
    keys.start();
    jobs.start();
    context
        .executor()
        .scheduleWithFixedDelay(
            this::reappendIfDue, REAPPEND_CHECK_MS, REAPPEND_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops; pending appends fail. */
  public void stop() {
    keys.stop();
    jobs.stop();
  }

  /**
   * Returns the read status of the domain's stream.
   *
   * @return a snapshot
   */
  public FollowerStatus status() {
    return jobs.status();
  }

  @Override
  public CompletableFuture<Collection<LedgerJob>> beginTerm(String newTermId) {
    termId = newTermId;
    termConfirmed = false;
    termStarting = true;
    String entry = LedgerJson.write(new LedgerEntry.TermStarted(hostId, newTermId));
    return withJournalException(
        jobs.appendAndApply(entry)
            .thenCompose(
                unused -> keys.appendAndApply(LedgerJson.writeClaim(termMarker(newTermId))))
            .thenApply(unused -> confirmTerm(newTermId))
            .whenComplete((jobs, failure) -> termStarting = false));
  }

  /** Returns a claim of a reserved key; once it is applied, so are all earlier claims. */
  private KeyClaim termMarker(String newTermId) {
    return new KeyClaim(
        new RequestKey("~term", newTermId), domain, newTermId, wallClockMs.getAsLong());
  }

  private Collection<LedgerJob> confirmTerm(String newTermId) {
    String currentTermId = jobs.read(JobLedger::termId);
    if (!newTermId.equals(termId) || !newTermId.equals(currentTermId)) {
      throw new CompletionException(
          new JournalException(Type.SUPERSEDED, "superseded in the log by term " + currentTermId));
    }
    termConfirmed = true;
    return jobs.read(JobLedger::jobs).stream().filter(this::holdsKeyClaim).toList();
  }

  /** Returns whether a job is repeatable or the current claim of its key names it. */
  private boolean holdsKeyClaim(LedgerJob job) {
    return job.spec().repeatable()
        || keys.read(ledger -> ledger.holder(job.spec().request()))
            .filter(claim -> claim.domain().equals(domain))
            .filter(claim -> claim.jobId().equals(job.jobId()))
            .isPresent();
  }

  @Override
  public boolean isTermCurrent() {
    return termStarting || termId.equals(jobs.read(JobLedger::termId));
  }

  /**
   * Returns whether this host can currently claim keys.
   *
   * @return true if this host's term is the current one and the log was read recently
   */
  public boolean canClaim() {
    return termConfirmed && keys.readWithin(MAX_READ_AGE_MS);
  }

  @Override
  public CompletableFuture<String> claim(String jobId, JobSpec spec) {
    if (!canClaim()) {
      return failed(
          Type.LOG_OUT,
          "The log is unavailable, and without it at-most-once execution can't be guaranteed.");
    }
    KeyClaim claim = new KeyClaim(spec.request(), domain, jobId, wallClockMs.getAsLong());
    return withJournalException(
        keys.appendAndApply(LedgerJson.writeClaim(claim), APPEND_TIMEOUT_MS)
            .thenCompose(unused -> claimed(spec)));
  }

  private CompletableFuture<String> claimed(JobSpec spec) {
    KeyClaim holder = keys.read(ledger -> ledger.holder(spec.request())).orElseThrow();
    if (!holder.domain().equals(domain)) {
      return failed(
          Type.CLAIMED_ELSEWHERE,
          "The key is held by failure domain " + holder.domain() + "; send the request there.");
    }
    if (jobs.read(ledger -> ledger.wasEvicted(holder.jobId()))) {
      return failed(
          Type.CLAIMED_ELSEWHERE,
          "Job "
              + holder.jobId()
              + " held the key and has ended; its result is no longer retained.");
    }
    if (find(holder.jobId()).isPresent()) {
      return CompletableFuture.completedFuture(holder.jobId());
    }
    LedgerEntry accepted = new LedgerEntry.Accepted(holder.jobId(), spec, wallClockMs.getAsLong());
    return jobs.appendAndApply(LedgerJson.write(accepted), APPEND_TIMEOUT_MS)
        .thenApply(unused -> holder.jobId());
  }

  @Override
  public Optional<LedgerJob> find(String jobId) {
    return jobs.read(ledger -> ledger.find(jobId));
  }

  @Override
  public CompletableFuture<Void> recordAccepted(String jobId, JobSpec spec) {
    return append(new LedgerEntry.Accepted(jobId, spec, wallClockMs.getAsLong()));
  }

  @Override
  public CompletableFuture<Void> recordPlaced(
      TaskId task, String workerTaskId, String workerId, String workerIncarnation) {
    String placingTerm = termId;
    LedgerEntry placed =
        new LedgerEntry.Placed(task, workerTaskId, workerId, workerIncarnation, placingTerm);
    return withJournalException(
        jobs.appendAndApply(LedgerJson.write(placed), APPEND_TIMEOUT_MS)
            .thenAccept(unused -> checkCurrentPlacement(task, placingTerm)));
  }

  private void checkCurrentPlacement(TaskId task, String placingTerm) {
    if (!jobs.read(ledger -> ledger.isCurrentPlacement(task, placingTerm))) {
      throw new CompletionException(
          new JournalException(Type.SUPERSEDED, "another host has taken over the failure domain"));
    }
  }

  @Override
  public CompletableFuture<Void> recordEnded(
      TaskId task, JobState state, String workerId, EndedTask end) {
    return append(new LedgerEntry.Ended(task, state, workerId, end.exitCode(), end.output()));
  }

  @Override
  public CompletableFuture<Void> recordFinished(JobAnswer answer) {
    return append(
        new LedgerEntry.Finished(
            answer.jobId(), answer.state(), answer.reason(), wallClockMs.getAsLong()));
  }

  private CompletableFuture<Void> append(LedgerEntry entry) {
    return withJournalException(jobs.append(LedgerJson.write(entry)).thenAccept(offset -> {}));
  }

  private void reappendIfDue() {
    long periodMs = settings.get().logRetentionMs() / REAPPENDS_PER_RETENTION;
    if (context.nowMs() >= lastReappendMs + periodMs) {
      lastReappendMs = context.nowMs();
      reappend();
    }
  }

  /** Appends entries again that must outlive the log's retention, and removes expired claims. */
  private void reappend() {
    long nowMs = wallClockMs.getAsLong();
    keys.change(ledger -> ledger.removeExpired(nowMs));
    if (!termConfirmed) {
      return;
    }
    long beforeMs = nowMs - settings.get().logRetentionMs() / REAPPENDS_PER_RETENTION;
    if (canClaim()) {
      Set<String> claiming = keys.read(ledger -> ledger.claimingJobs(domain));
      jobs.change(ledger -> ledger.retainEvicted(claiming));
    }
    List<KeyClaim> claims = keys.read(ledger -> ledger.claimsOf(domain, beforeMs));
    List<LedgerEntry> entries = jobs.read(ledger -> ledger.snapshot(beforeMs));
    claims.forEach(claim -> keys.append(LedgerJson.writeClaim(claim)));
    entries.forEach(this::append);
    logger.atFine().log(
        "journal: Appended %d key claims and %d job entries again to outlive log retention.",
        claims.size(), entries.size());
  }

  private static <T> CompletableFuture<T> failed(Type type, String message) {
    return CompletableFuture.failedFuture(new JournalException(type, message));
  }

  private static <T> CompletableFuture<T> withJournalException(CompletableFuture<T> future) {
    return future.exceptionallyCompose(
        failure -> CompletableFuture.failedFuture(translate(failure)));
  }

  private static JournalException translate(@Nullable Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof JournalException known) {
      return known;
    }
    boolean absent = cause instanceof AppendFailedException e && !e.mayBeInLog();
    return new JournalException(
        absent ? Type.LOG_OUT : Type.UNKNOWN, "the append to the log failed: " + cause);
  }
}
