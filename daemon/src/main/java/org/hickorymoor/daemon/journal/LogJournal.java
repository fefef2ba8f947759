package org.hickorymoor.daemon.journal;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
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
 * Keeps jobs in the platform's log: claims of keys in a stream that all failure domains share, all
 * else in a stream of the domain.
 *
 * <p>Every entry host of the domain follows both streams, so the next coordinator knows what the
 * last one recorded. Safe for use by several threads.
 */
public final class LogJournal implements JobJournal {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String KEY_STREAM = "keys";
  private static final String JOB_STREAM_PREFIX = "jobs.";
  private static final long APPEND_TIMEOUT_MS = 3_000;
  private static final long FRESH_MS = 4_000;
  private static final long CHECK_MS = 500;
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
  private volatile boolean termInForce;
  private volatile boolean beginning;
  private volatile long lastKeepAliveMs;

  /**
   * Makes a journal that is not started.
   *
   * @param hostId this host
   * @param domain failure domain
   * @param incarnation changes with every start of the process
   * @param settings windows in force
   * @param context the log, timers and clock
   * @param budget limit on appends, shared by the process
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
    this.lastKeepAliveMs = context.nowMs();
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

  /** Starts to follow the streams. */
  public void start() {
    keys.start();
    jobs.start();
    context
        .executor()
        .scheduleWithFixedDelay(this::considerKeepAlive, CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops; what waits to be appended fails. */
  public void stop() {
    keys.stop();
    jobs.stop();
  }

  /**
   * Returns where the domain's stream stands.
   *
   * @return a snapshot
   */
  public FollowerStatus status() {
    return jobs.status();
  }

  @Override
  public CompletableFuture<Collection<LedgerJob>> beginTerm(String newTermId) {
    termId = newTermId;
    termInForce = false;
    beginning = true;
    String entry = LedgerJson.write(new LedgerEntry.Epoch(hostId, newTermId));
    return typed(
        jobs.appendAndApply(entry)
            .thenCompose(unused -> keys.appendAndApply(LedgerJson.writeClaim(marker(newTermId))))
            .thenApply(unused -> opened(newTermId))
            .whenComplete((jobs, failure) -> beginning = false));
  }

  /** A claim of no caller's key; once it is applied, every earlier claim is. */
  private KeyClaim marker(String newTermId) {
    return new KeyClaim(
        new RequestKey("~term", newTermId), domain, newTermId, wallClockMs.getAsLong());
  }

  private Collection<LedgerJob> opened(String newTermId) {
    String inForce = jobs.read(JobLedger::termId);
    if (!newTermId.equals(termId) || !newTermId.equals(inForce)) {
      throw new CompletionException(
          new JournalException(Type.SUPERSEDED, "term " + inForce + " has taken over"));
    }
    termInForce = true;
    return jobs.read(JobLedger::jobs).stream().filter(this::holdsItsKey).toList();
  }

  /** A job that must run at most once counts only if the claim in force names it. */
  private boolean holdsItsKey(LedgerJob job) {
    return job.spec().repeatable()
        || keys.read(ledger -> ledger.holder(job.spec().request()))
            .filter(claim -> claim.domain().equals(domain))
            .filter(claim -> claim.jobId().equals(job.jobId()))
            .isPresent();
  }

  @Override
  public boolean isTermCurrent() {
    return beginning || termId.equals(jobs.read(JobLedger::termId));
  }

  /**
   * Tells whether keys can be claimed here now.
   *
   * @return true if this host's term is in force and the log was read lately
   */
  public boolean canClaim() {
    return termInForce && keys.readWithin(FRESH_MS);
  }

  @Override
  public CompletableFuture<String> claim(String jobId, JobSpec spec) {
    if (!canClaim()) {
      return failed(
          Type.LOG_OUT,
          "The log can't be reached, and without it running at most once can't be promised.");
    }
    KeyClaim claim = new KeyClaim(spec.request(), domain, jobId, wallClockMs.getAsLong());
    return typed(
        keys.appendAndApply(LedgerJson.writeClaim(claim), APPEND_TIMEOUT_MS)
            .thenCompose(unused -> claimed(spec)));
  }

  private CompletableFuture<String> claimed(JobSpec spec) {
    KeyClaim holder = keys.read(ledger -> ledger.holder(spec.request())).orElseThrow();
    if (!holder.domain().equals(domain)) {
      return failed(
          Type.CLAIMED_ELSEWHERE,
          "Failure domain " + holder.domain() + " holds the key; ask there.");
    }
    if (jobs.read(ledger -> ledger.hasDropped(holder.jobId()))) {
      return failed(
          Type.CLAIMED_ELSEWHERE,
          "Job " + holder.jobId() + " had the key and has ended; its result is kept no longer.");
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
    return typed(
        jobs.appendAndApply(LedgerJson.write(placed), APPEND_TIMEOUT_MS)
            .thenAccept(unused -> checkStands(task, placingTerm)));
  }

  private void checkStands(TaskId task, String placingTerm) {
    if (!jobs.read(ledger -> ledger.stands(task, placingTerm))) {
      throw new CompletionException(
          new JournalException(Type.SUPERSEDED, "another host has taken over"));
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
    return typed(jobs.append(LedgerJson.write(entry)).thenAccept(offset -> {}));
  }

  private void considerKeepAlive() {
    long periodMs = settings.get().logRetentionMs() / REAPPENDS_PER_RETENTION;
    if (context.nowMs() >= lastKeepAliveMs + periodMs) {
      lastKeepAliveMs = context.nowMs();
      keepAlive();
    }
  }

  /** Appends again what must outlive the log's retention, and drops what is too old. */
  private void keepAlive() {
    long nowMs = wallClockMs.getAsLong();
    keys.change(ledger -> ledger.forget(nowMs));
    if (!termInForce) {
      return;
    }
    long beforeMs = nowMs - settings.get().logRetentionMs() / REAPPENDS_PER_RETENTION;
    List<KeyClaim> claims = keys.read(ledger -> ledger.claimsOf(domain, beforeMs));
    List<LedgerEntry> entries = jobs.read(ledger -> ledger.snapshot(beforeMs));
    claims.forEach(claim -> keys.append(LedgerJson.writeClaim(claim)));
    entries.forEach(this::append);
    logger.atFine().log(
        "journal: Appended %d claims and %d entries again.", claims.size(), entries.size());
  }

  private static <T> CompletableFuture<T> failed(Type type, String message) {
    return CompletableFuture.failedFuture(new JournalException(type, message));
  }

  private static <T> CompletableFuture<T> typed(CompletableFuture<T> future) {
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
        absent ? Type.LOG_OUT : Type.UNKNOWN, "the log gave no certain answer: " + cause);
  }
}
