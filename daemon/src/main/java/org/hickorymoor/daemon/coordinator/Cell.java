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
 * <p>It starts nothing before it is settled: until every worker has been listed, or what an earlier
 * coordinator may have started on the others has certainly lapsed. Safe for use by several threads:
 * state is under one lock, and no call goes out with the lock held.
 */
final class Cell {

  private static final long RESTORE_WAIT_MS = 1_000;
  private static final long RECORD_WAIT_MS = 2_000;

  private final CellContext context;
  private final Object lock = new Object();
  private final CellState state;
  private final JobTable jobs;
  private final JobIntake intake;
  private final TaskRunner runner;
  private final Set<String> listTaken = new HashSet<>();
  private @Nullable PolicySettings policy;
  private boolean someUnasked;

  Cell(CellContext context, String termTag) {
    this.context = context;
    this.state = new CellState(context, lock, this::pump);
    this.jobs = state.jobs();
    this.intake = new JobIntake(state);
    this.runner = new TaskRunner(state, termTag);
  }

  /**
   * Takes a job on, or finds the one that the request already has.
   *
   * @param jobId name for a new job
   * @param spec what it is
   * @param waitMs longest time to wait for the job's end
   * @return the answer at its end or when the time has passed
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
        return CompletableFuture.completedFuture(refused(spec, admission));
      }
      Job job = new Job(jobId, spec, context.clockMs().getAsLong());
      jobs.add(job);
      intake.record(job);
      answer = waitMs > 0 || !spec.repeatable() ? await(job, waitMs) : accepted(job);
    }
    pump();
    return answer;
  }

  private CompletableFuture<JobAnswer> resubmit(Job known, JobSpec spec, long waitMs) {
    if (!known.spec().equals(spec)) {
      return CompletableFuture.completedFuture(reused(known));
    }
    known.want();
    if (state.settled()) {
      intake.enqueue(known);
    }
    return await(known, waitMs);
  }

  /**
   * Waits for a job's end.
   *
   * @param request name of the request
   * @param waitMs longest time to wait
   * @return the answer, or empty if there is no such job
   */
  Optional<CompletableFuture<JobAnswer>> get(RequestKey request, long waitMs) {
    synchronized (lock) {
      Job job = jobs.byKey(request);
      return job == null ? Optional.empty() : Optional.of(await(job, waitMs));
    }
  }

  /**
   * Cancels a job.
   *
   * @param request name of the request
   * @return the answer after it, or empty if there is no such job
   */
  Optional<CompletableFuture<JobAnswer>> cancel(RequestKey request) {
    CompletableFuture<JobAnswer> answer;
    synchronized (lock) {
      Job job = jobs.byKey(request);
      if (job == null) {
        return Optional.empty();
      }
      runner.cancel(job, ReasonType.CANCELLED, "The caller cancelled the job.");
      boolean toRecord = job.ended() && !job.recorded();
      answer = await(job, toRecord ? RECORD_WAIT_MS : 0);
    }
    pump();
    return Optional.of(answer);
  }

  /** Returns the jobs of a team, or of all teams for null, the latest first. */
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

  /** Says why a job is where it is, or empty if there is no such job. */
  Optional<List<String>> explain(RequestKey request) {
    synchronized (lock) {
      Job job = jobs.byKey(request);
      if (job == null) {
        return Optional.empty();
      }
      List<String> lines = new ArrayList<>(JobExplanation.of(job, state.settled()));
      lines.addAll(context.scheduler().explain(job.jobId(), context.clockMs().getAsLong()));
      return Optional.of(lines);
    }
  }

  /** Takes in what a held worker listed. */
  void synced(WorkerAgent agent, @Nullable WorkerProfile profile, long sentMs, SyncReply reply) {
    synchronized (lock) {
      if (state.closed()) {
        return;
      }
      if (profile != null) {
        context.scheduler().workerAvailable(profile, context.clockMs().getAsLong());
      }
      runner.synced(agent, sentMs, reply);
      listTaken.add(agent.workerId());
      if (profile != null && profile.leaving()) {
        runner.moveServices(agent.workerId());
      }
    }
    pump();
  }

  /** Tells that a worker can't be given tasks at present. */
  void workerLost(String workerId) {
    synchronized (lock) {
      context.scheduler().workerLost(workerId);
    }
  }

  /** Returns the tasks on a worker whose leases are to be renewed; none without authority. */
  List<String> renewals(String workerId) {
    if (!context.hasAuthority()) {
      return List.of();
    }
    synchronized (lock) {
      return state.closed() ? List.of() : List.copyOf(jobs.on(workerId).keySet());
    }
  }

  /**
   * Does what is due.
   *
   * @param workerIds the workers that are known
   */
  void tick(Collection<String> workerIds) {
    long nowMs = context.clockMs().getAsLong();
    synchronized (lock) {
      if (state.closed()) {
        return;
      }
      boolean allListed = listTaken.containsAll(workerIds);
      boolean lapsed = nowMs > state.startedMs() + context.settings().lapseMs();
      boolean logHeard = state.restored() || nowMs > state.startedMs() + RESTORE_WAIT_MS;
      if (!state.settled() && (allListed || lapsed) && logHeard) {
        settleJobs(allListed);
      }
      runner.expire(nowMs);
    }
    pump();
  }

  private void settleJobs(boolean allListed) {
    state.settle();
    someUnasked = !allListed;
    for (Job job : List.copyOf(jobs.all())) {
      settleJob(job);
      intake.enqueue(job);
    }
  }

  private void settleJob(Job job) {
    if (someUnasked) {
      job.suspectRun();
    }
    runner.settle(job);
  }

  /** Takes in the jobs that the log knows. */
  void restore(Collection<LedgerJob> known) {
    synchronized (lock) {
      if (state.closed()) {
        return;
      }
      known.forEach(job -> intake.restore(job, state.settled()));
      state.restore();
      if (state.settled()) {
        List.copyOf(jobs.all()).forEach(this::settleJob);
      }
    }
    pump();
  }

  /** Ends the term. Waiting questions are failed, so that they go to the next coordinator. */
  void close() {
    List<CompletableFuture<JobAnswer>> waiters = new ArrayList<>();
    synchronized (lock) {
      state.close();
      jobs.all().forEach(job -> waiters.addAll(job.takeWaiters()));
    }
    waiters.forEach(waiter -> waiter.completeExceptionally(new TermEndedException()));
  }

  /** Returns how many jobs have not ended. */
  int openJobs() {
    synchronized (lock) {
      return (int) jobs.all().stream().filter(job -> !job.ended()).count();
    }
  }

  /** Returns how many tasks wait to be started. */
  int waitingTasks() {
    return count(phase -> phase == JobTask.Phase.WAITING);
  }

  /** Returns how many tasks may run. */
  int runningTasks() {
    return count(JobTask.Phase::mayRun);
  }

  private int count(Predicate<JobTask.Phase> wanted) {
    synchronized (lock) {
      return (int)
          jobs.all().stream()
              .filter(job -> !job.ended())
              .flatMap(job -> job.tasks().stream())
              .filter(task -> wanted.test(task.phase()))
              .count();
    }
  }

  /** Returns how many tasks a worker may hold. */
  int tasksOn(String workerId) {
    synchronized (lock) {
      return jobs.on(workerId).size();
    }
  }

  /** Returns what a worker is thought to hold. */
  Resources learnedCapacity(String workerId) {
    synchronized (lock) {
      return context.scheduler().learnedCapacity(workerId);
    }
  }

  /** Returns the declared needs of all tasks that a worker may hold. */
  Resources inUse(String workerId) {
    synchronized (lock) {
      return jobs.on(workerId).values().stream()
          .map(entry -> entry.job().spec().demand())
          .reduce(Resources.NONE, Resources::plus);
    }
  }

  boolean settled() {
    synchronized (lock) {
      return state.settled();
    }
  }

  private void pump() {
    List<Runnable> calls;
    synchronized (lock) {
      followPolicy();
      if (state.settled() && !state.closed() && context.hasAuthority()) {
        for (Decision decision : context.scheduler().decide(context.clockMs().getAsLong())) {
          runner.carryOut(decision);
        }
      }
      calls = state.takeCalls();
    }
    calls.forEach(Runnable::run);
  }

  private void followPolicy() {
    PolicySettings inForce = context.policy().get();
    if (!inForce.equals(policy)) {
      policy = inForce;
      context.scheduler().reconfigure(inForce);
    }
  }

  /** Answers that a job was taken on once the log holds it, or says that it does not. */
  private CompletableFuture<JobAnswer> accepted(Job job) {
    return job.acceptance()
        .orTimeout(RECORD_WAIT_MS, TimeUnit.MILLISECONDS)
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
              "Only this coordinator knows of the job until the log answers.");
      return new JobAnswer(
          answer.request(), answer.jobId(), answer.state(), reason, 0, answer.tasks());
    }
  }

  private CompletableFuture<JobAnswer> await(Job job, long waitMs) {
    if (job.recorded() || waitMs <= 0) {
      return CompletableFuture.completedFuture(job.answer());
    }
    CompletableFuture<JobAnswer> waiter = new CompletableFuture<>();
    job.await(waiter);
    CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
    waiter
        .orTimeout(waitMs, TimeUnit.MILLISECONDS)
        .whenComplete((ended, failure) -> settle(answer, job, ended, failure));
    return answer;
  }

  private void settle(
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

  private static JobAnswer reused(Job known) {
    return JobAnswer.notRun(
        known.spec().request(),
        ReasonType.KEY_REUSED,
        "expected the record that first came with key "
            + known.spec().request()
            + ", got another; use a new key for a new request",
        0);
  }

  private static JobAnswer refused(JobSpec spec, Admission admission) {
    return JobAnswer.notRun(
        spec.request(),
        admission.reason().type(),
        admission.reason().message(),
        admission.retryAfterMs());
  }
}
