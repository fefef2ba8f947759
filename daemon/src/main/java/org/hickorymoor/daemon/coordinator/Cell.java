package org.hickorymoor.daemon.coordinator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.ledger.LedgerJob;
import org.hickorymoor.domain.policy.Admission;
import org.hickorymoor.domain.policy.Decision;
import org.hickorymoor.domain.policy.PolicySettings;
import org.hickorymoor.domain.policy.WorkerProfile;
import org.hickorymoor.protocol.platform.SyncReply;
import org.jspecify.annotations.Nullable;

/**
 * The jobs of one failure domain during one term of its coordinator.
 *
 * <p>No task is started before the cell is reconciled, that is, before every worker has reported
 * its tasks or the leases of tasks that an earlier coordinator may have started on the remaining
 * workers have certainly expired.
 *
 * <p>Thread-safe: one lock guards the state and is never held during a remote call.
 */
final class Cell {

  private static final long RECORD_TIMEOUT_MS = 2_000;

  private final CellContext context;
  private final Object lock = new Object();
  private final CellState state;
  private final JobTable jobs;
  private final JobIntake intake;
  private final TaskRunner runner;
  private final Set<String> listedWorkers = new HashSet<>();
  private @Nullable PolicySettings policy;
  private boolean hasUnlistedWorkers;

  Cell(CellContext context, String termTag) {
    this.context = context;
    this.state = new CellState(context, lock, this::dispatch);
    this.jobs = state.jobs();
    this.intake = new JobIntake(state);
    this.runner = new TaskRunner(state, termTag);
  }

  /**
   * Accepts a job, or finds the job that was accepted earlier under the same request key.
   *
   * @param jobId id to use if the job is new
   * @param spec the job's specification
   * @param waitMs maximum time to wait for the job to end
   * @return completes with the job's status when the job ends or the wait time has passed
   */
  CompletableFuture<JobAnswer> submit(String jobId, JobSpec spec, long waitMs) {
    CompletableFuture<JobAnswer> answer;
    synchronized (lock) {
      Job known = jobs.byKey(spec.request());
      if (known != null) {
        return resubmit(known, spec, waitMs);
      }
      Admission admission = context.scheduler().admit(spec, context.clockMs().getAsLong());
      if (!admission.accepted()) {
        return CompletableFuture.completedFuture(rejected(spec, admission));
      }
      Job job = new Job(jobId, spec, context.clockMs().getAsLong());
      jobs.add(job);
      intake.record(job);
      answer = waitMs > 0 ? awaitEnd(job, waitMs) : accepted(job);
    }
    dispatch();
    return answer;
  }

  private CompletableFuture<JobAnswer> resubmit(Job known, JobSpec spec, long waitMs) {
    if (!known.spec().equals(spec)) {
      return CompletableFuture.completedFuture(keyReused(known));
    }
    known.confirmOpen();
    if (state.reconciled()) {
      intake.enqueue(known);
    }
    return awaitEnd(known, waitMs);
  }

  /**
   * Waits for a job to end.
   *
   * @param request key of the request
   * @param waitMs maximum time to wait
   * @return the job's status when it ends or the wait time has passed; empty if the job is unknown
   */
  Optional<CompletableFuture<JobAnswer>> get(RequestKey request, long waitMs) {
    synchronized (lock) {
      Job job = jobs.byKey(request);
      return job == null ? Optional.empty() : Optional.of(awaitEnd(job, waitMs));
    }
  }

  /**
   * Cancels a job.
   *
   * @param request key of the request
   * @return the job's status after the cancellation, or empty if the job is unknown
   */
  Optional<CompletableFuture<JobAnswer>> cancel(RequestKey request) {
    CompletableFuture<JobAnswer> answer;
    synchronized (lock) {
      Job job = jobs.byKey(request);
      if (job == null) {
        return Optional.empty();
      }
      runner.cancel(job, ReasonType.CANCELLED, "The caller cancelled the job.");
      boolean toRecord = job.ended() && !job.endConfirmed();
      answer = awaitEnd(job, toRecord ? RECORD_TIMEOUT_MS : 0);
    }
    dispatch();
    return Optional.of(answer);
  }

  /** Returns the jobs of a team, or of all teams if {@code team} is null, newest first. */
  List<JobAnswer> list(@Nullable String team, int limit) {
    synchronized (lock) {
      return jobs.all().stream()
          .filter(job -> team == null || job.spec().request().team().equals(team))
          .sorted((left, right) -> Long.compare(right.acceptedMs(), left.acceptedMs()))
          .limit(limit)
          .map(Job::answer)
          .toList();
    }
  }

  /** Explains the current state of a job; returns empty if the job is unknown. */
  Optional<List<String>> explain(RequestKey request) {
    synchronized (lock) {
      Job job = jobs.byKey(request);
      if (job == null) {
        return Optional.empty();
      }
      List<String> lines = new ArrayList<>(JobExplanation.of(job, state.reconciled()));
      lines.addAll(context.scheduler().explain(job.jobId(), context.clockMs().getAsLong()));
      return Optional.of(lines);
    }
  }

  /** Processes the task list of a worker that this host holds. */
  void synced(WorkerAgent agent, @Nullable WorkerProfile profile, long sentMs, SyncReply reply) {
    synchronized (lock) {
      if (state.closed()) {
        return;
      }
      if (profile != null) {
        context.scheduler().workerAvailable(profile, context.clockMs().getAsLong());
      }
      runner.reconcile(agent, sentMs, reply);
      listedWorkers.add(agent.workerId());
      if (profile != null && profile.leaving()) {
        runner.stopServices(agent.workerId());
      }
    }
    dispatch();
  }

  /** Notifies the scheduler that a worker can't receive tasks at present. */
  void workerLost(String workerId) {
    synchronized (lock) {
      context.scheduler().workerLost(workerId);
    }
  }

  /** Returns the tasks on a worker whose leases to renew; empty if this host lacks authority. */
  List<String> renewals(String workerId) {
    if (!context.hasAuthority()) {
      return List.of();
    }
    synchronized (lock) {
      return state.closed() ? List.of() : List.copyOf(jobs.tasksOn(workerId).keySet());
    }
  }

  /**
   * Completes reconciliation when possible, expires leases and start deadlines, and dispatches.
   *
   * @param workerIds all known workers
   */
  void tick(Collection<String> workerIds) {
    long nowMs = context.clockMs().getAsLong();
    synchronized (lock) {
      if (state.closed()) {
        return;
      }
      boolean allListed = listedWorkers.containsAll(workerIds);
      boolean expired = nowMs > state.startedMs() + context.settings().taskExpiryMs();
      boolean logReadOrTimedOut = state.restored() || state.restoreTimedOut();
      if (!state.reconciled() && (allListed || expired) && logReadOrTimedOut) {
        finishReconciliation(allListed);
      }
      intake.claimAwaitingRestore();
      runner.expire(nowMs);
    }
    dispatch();
  }

  private void finishReconciliation(boolean allListed) {
    state.markReconciled();
    hasUnlistedWorkers = !allListed;
    for (Job job : List.copyOf(jobs.all())) {
      resolvePending(job);
      intake.enqueue(job);
    }
  }

  private void resolvePending(Job job) {
    if (hasUnlistedWorkers) {
      job.markMayHaveRun();
    }
    runner.resolvePending(job);
  }

  /** Adds the jobs that were read from the log. */
  void restore(Collection<LedgerJob> known) {
    synchronized (lock) {
      if (state.closed()) {
        return;
      }
      known.forEach(job -> intake.restore(job, state.reconciled()));
      state.markRestored();
      intake.claimAwaitingRestore();
      if (state.reconciled()) {
        List.copyOf(jobs.all()).forEach(this::resolvePending);
      }
    }
    dispatch();
  }

  /** Ends the term. Pending waits fail so that callers can retry at the next coordinator. */
  void close() {
    List<CompletableFuture<JobAnswer>> waiters = new ArrayList<>();
    synchronized (lock) {
      state.close();
      jobs.all().forEach(job -> waiters.addAll(job.drainWaiters()));
    }
    waiters.forEach(waiter -> waiter.completeExceptionally(new TermEndedException()));
  }

  /** Returns the number of jobs that have not ended. */
  int openJobs() {
    synchronized (lock) {
      return (int) jobs.all().stream().filter(job -> !job.ended()).count();
    }
  }

  /** Returns the number of tasks waiting to be started. */
  int waitingTasks() {
    return count(phase -> phase == JobTask.Phase.WAITING);
  }

  /** Returns the number of tasks that are running or may be running. */
  int runningTasks() {
    return count(JobTask.Phase::mayBeRunning);
  }

  private int count(Predicate<JobTask.Phase> filter) {
    synchronized (lock) {
      return (int)
          jobs.all().stream()
              .filter(job -> !job.ended())
              .flatMap(job -> job.tasks().stream())
              .filter(task -> filter.test(task.phase()))
              .count();
    }
  }

  /** Returns the number of tasks that may be running on a worker. */
  int tasksOn(String workerId) {
    synchronized (lock) {
      return jobs.tasksOn(workerId).size();
    }
  }

  /** Returns the scheduler's estimate of a worker's capacity. */
  Resources learnedCapacity(String workerId) {
    synchronized (lock) {
      return context.scheduler().learnedCapacity(workerId);
    }
  }

  /** Returns the total declared demand of all tasks that may be running on a worker. */
  Resources inUse(String workerId) {
    synchronized (lock) {
      return jobs.tasksOn(workerId).values().stream()
          .map(entry -> entry.job().spec().demand())
          .reduce(Resources.NONE, Resources::plus);
    }
  }

  boolean reconciled() {
    synchronized (lock) {
      return state.reconciled();
    }
  }

  private void dispatch() {
    List<Runnable> calls;
    synchronized (lock) {
      applyPolicyChanges();
      if (state.reconciled() && !state.closed() && context.hasAuthority()) {
        for (Decision decision : context.scheduler().decide(context.clockMs().getAsLong())) {
          runner.execute(decision);
        }
      }
      calls = state.drainDeferredCalls();
    }
    calls.forEach(Runnable::run);
  }

  private void applyPolicyChanges() {
    PolicySettings current = context.policy().get();
    if (!current.equals(policy)) {
      policy = current;
      context.scheduler().reconfigure(current);
    }
  }

  /** Completes once acceptance of the job is in the log, or with a reason if it times out. */
  private CompletableFuture<JobAnswer> accepted(Job job) {
    return job.acceptance()
        .orTimeout(RECORD_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .handle((done, failure) -> acceptedAnswer(job, failure == null));
  }

  private JobAnswer acceptedAnswer(Job job, boolean recorded) {
    synchronized (lock) {
      JobAnswer answer = job.answer();
      if (recorded || answer.state().isFinal()) {
        return answer;
      }
      Reason reason =
          new Reason(
              ReasonType.LOG_UNAVAILABLE,
              "The job was accepted but is not yet in the log; only this coordinator knows of it.");
      return new JobAnswer(
          answer.request(), answer.jobId(), answer.state(), reason, 0, answer.tasks());
    }
  }

  private CompletableFuture<JobAnswer> awaitEnd(Job job, long waitMs) {
    if (job.endConfirmed() || waitMs <= 0) {
      return CompletableFuture.completedFuture(job.answer());
    }
    CompletableFuture<JobAnswer> waiter = new CompletableFuture<>();
    job.addWaiter(waiter);
    CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
    waiter
        .orTimeout(waitMs, TimeUnit.MILLISECONDS)
        .whenComplete((ended, failure) -> completeAnswer(answer, job, ended, failure));
    return answer;
  }

  private void completeAnswer(
      CompletableFuture<JobAnswer> answer,
      Job job,
      @Nullable JobAnswer ended,
      @Nullable Throwable failure) {
    if (ended != null) {
      answer.complete(ended);
    } else if (WorkerAgent.unwrap(failure) instanceof TermEndedException e) {
      answer.completeExceptionally(e);
    } else {
      synchronized (lock) {
        answer.complete(job.answer());
      }
    }
  }

  private static JobAnswer keyReused(Job known) {
    return JobAnswer.notRun(
        known.spec().request(),
        ReasonType.KEY_REUSED,
        "key "
            + known.spec().request()
            + " was already used with a different job record; use a new key for a new request",
        0);
  }

  private static JobAnswer rejected(JobSpec spec, Admission admission) {
    return JobAnswer.notRun(
        spec.request(),
        admission.reason().type(),
        admission.reason().message(),
        admission.retryAfterMs());
  }
}
