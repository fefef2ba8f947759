package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;

/**
 * Schedules heterogeneous workloads on workers whose actual capacity has to be estimated.
 *
 * <pre>{@code
 * PolicySettings settings = PolicySettings.DEFAULT.withWeights(0.7, 0.2, 0.1);
 * CellScheduler scheduler = new PolicyScheduler(settings, new SplittableRandom(seed));
 * }</pre>
 *
 * <p>Within a job class, teams share capacity by weighted dominant resource fairness. A job that
 * does not fit does not block smaller jobs; a job that has waited too long has workers reserved and
 * drained for it. Urgent jobs may throttle or preempt batch tasks. A worker on which every task
 * fails is quarantined, and a job that fails on every worker is given up.
 *
 * <p>Failed attempts are retried after a back-off, unless the job is not repeatable. An attempt
 * that never started is always retried.
 *
 * <p>A call of {@link #decide} starts no further tasks once it has started {@link
 * PolicySettings#maxStartsPerDecision}; if it started that many, call it again immediately. This
 * class is not thread-safe.
 */
public final class PolicyScheduler implements CellScheduler {

  private final PolicyState state;
  private final FairQueue queue;
  private final Reservations reservations;
  private final FailureAttribution failureAttribution;
  private final TaskDispatcher dispatcher;
  private final Preemption preemption;
  private final AdmissionControl admission;
  private final Explainer explainer;
  private final DelayedAttempts delayed = new DelayedAttempts();
  private final Map<String, QueuedJob> jobs = new HashMap<>();
  private final List<Decision> pendingGiveUps = new ArrayList<>();
  private final RandomGenerator random;
  private RetryPolicy retryPolicy;

  /**
   * Creates a scheduler without workers or jobs.
   *
   * @param settings the scheduling policy of the deployment
   * @param random the source of jitter for retry delays
   */
  public PolicyScheduler(PolicySettings settings, RandomGenerator random) {
    this.random = random;
    state = new PolicyState(settings);
    queue = new FairQueue(settings);
    reservations = new Reservations(state, queue);
    failureAttribution = new FailureAttribution(state);
    dispatcher =
        new TaskDispatcher(state, queue, reservations, failureAttribution, delayed, this::giveUp);
    preemption = new Preemption(state, queue);
    admission = new AdmissionControl(state, queue);
    explainer = new Explainer(state, queue);
    retryPolicy = retryPolicy(settings);
  }

  /**
   * Applies new settings from the next decision on. {@link PolicySettings#initialCapacityShare}
   * keeps the value that the scheduler was created with.
   *
   * @param settings the new settings
   */
  @Override
  public void reconfigure(PolicySettings settings) {
    state.settings = settings;
    queue.setSettings(settings);
    retryPolicy = retryPolicy(settings);
    dispatcher.requeueUnplaceable();
  }

  @Override
  public Admission admit(JobSpec spec, long nowMs) {
    return admission.admit(spec, nowMs);
  }

  @Override
  public void submit(String jobId, JobSpec spec, Collection<TaskId> tasks, long nowMs) {
    queueAttempts(getOrCreateJob(jobId, spec), tasks, nowMs);
  }

  @Override
  public void cancel(String jobId) {
    QueuedJob job = jobs.remove(jobId);
    if (job != null) {
      drop(job);
    }
  }

  @Override
  public void workerAvailable(WorkerProfile profile, long nowMs) {
    WorkerLoad known = state.allocations.worker(profile.workerId());
    if (known != null && known.present() && known.profile().equals(profile)) {
      return;
    }
    state.freedWorkers.add(state.allocations.updateWorker(profile));
    workersChanged();
    dispatcher.requeueUnplaceable();
  }

  @Override
  public void workerLost(String workerId) {
    WorkerLoad worker = state.allocations.markWorkerLost(workerId);
    if (worker != null) {
      failureAttribution.removeWorker(worker);
      workersChanged();
    }
  }

  @Override
  public void taskRecovered(TaskId task, JobSpec spec, String workerId, long nowMs) {
    if (state.allocations.attempt(task) != null) {
      return;
    }
    QueuedJob job = getOrCreateJob(task.jobId(), spec);
    job.removeWaiting(task.index());
    queue.recount(job);
    state.allocate(task, job, workerId, nowMs);
    queue.addUsage(job.team(), job.demand());
  }

  @Override
  public void taskEnded(TaskId task, TaskEnd end, long nowMs) {
    RunningAttempt attempt = state.allocations.release(task);
    if (attempt == null) {
      return;
    }
    attempt.worker.recordEnd(attempt, nowMs);
    state.freedWorkers.add(attempt.worker);
    queue.removeUsage(attempt.job.team(), attempt.job.demand());
    preemption.ended(attempt);
    boolean unrunnable = learn(attempt, end, nowMs);
    failureAttribution.ended(attempt);
    if (!attempt.job.dropped) {
      handleEnd(attempt, end, unrunnable, nowMs);
    }
  }

  @Override
  public void usageReported(String workerId, UsageReport report, long nowMs) {
    WorkerLoad worker = state.allocations.worker(workerId);
    if (worker == null) {
      return;
    }
    Resources limit = ResourceMath.scale(worker.capacity(), 1 - state.settings.capacityMargin());
    boolean fresh =
        worker.capacityEstimator.usageReported(
            report, limit, worker.attempts.values(), worker.recentEnds, hasWaitingTasks(), nowMs);
    if (fresh) {
      UsageAttribution.attribute(worker, report, nowMs, state.workloadEstimator);
      worker.updateFree();
      state.freedWorkers.add(worker);
    }
  }

  @Override
  public List<Decision> decide(long nowMs) {
    state.decisionNumber++;
    delayed.release(nowMs, (job, tasks) -> queueAttempts(job, tasks, nowMs));
    failureAttribution.offerDueProbes(nowMs);
    reservations.update(nowMs);
    List<Decision> decisions = dispatcher.startAll(nowMs);
    admission.started(decisions.size(), nowMs);
    preemption.preemptForUrgentJobs(nowMs, decisions);
    preemption.restoreThrottled(decisions);
    decisions.addAll(pendingGiveUps);
    pendingGiveUps.clear();
    return decisions;
  }

  @Override
  public List<String> explain(String jobId, long nowMs) {
    QueuedJob job = jobs.get(jobId);
    return job == null ? List.of() : explainer.explain(job, nowMs);
  }

  @Override
  public Resources learnedCapacity(String workerId) {
    WorkerLoad worker = state.allocations.worker(workerId);
    return worker == null || !worker.present() ? Resources.NONE : worker.learnedCapacity();
  }

  private RetryPolicy retryPolicy(PolicySettings settings) {
    return new RetryPolicy(
        settings.maxAttempts(), settings.retryBaseDelayMs(), settings.retryMaxDelayMs(), random);
  }

  private QueuedJob getOrCreateJob(String jobId, JobSpec spec) {
    return jobs.computeIfAbsent(jobId, id -> new QueuedJob(id, spec));
  }

  private boolean hasWaitingTasks() {
    return queue.waitingTasks() > 0;
  }

  private void queueAttempts(QueuedJob job, Collection<TaskId> tasks, long nowMs) {
    if (job.queue == null) {
      job.agingSinceMs = nowMs;
    }
    job.addWaiting(tasks);
    dispatcher.add(job);
  }

  private void drop(QueuedJob job) {
    job.drop();
    dispatcher.remove(job);
  }

  private void giveUp(QueuedJob job, ReasonType type, String message) {
    jobs.remove(job.jobId);
    drop(job);
    pendingGiveUps.add(new Decision.GiveUp(job.jobId, new Reason(type, message)));
  }

  private void workersChanged() {
    state.workersChanged();
    queue.setTotalCapacity(state.total());
  }

  /** Updates the estimates from an ended attempt; returns whether to give its job up. */
  private boolean learn(RunningAttempt attempt, TaskEnd end, long nowMs) {
    if (end.outcome() == TaskEnd.Outcome.FAILED) {
      attempt.job.countFailure(attempt.task.index());
      return failureAttribution.failed(attempt, nowMs);
    }
    if (end.outcome() == TaskEnd.Outcome.SUCCEEDED) {
      failureAttribution.succeeded(attempt);
      if (attempt.runsToCompletion() && !attempt.everThrottled) {
        learnRunTime(attempt, end.ranMs(), nowMs);
      }
    }
    return false;
  }

  private void learnRunTime(RunningAttempt attempt, long ranMs, long nowMs) {
    WorkerLoad worker = attempt.worker;
    WorkloadKey key = attempt.job.workloadKey;
    worker.capacityEstimator.runCompleted(
        state.workloadEstimator.relativeRunTime(key, ranMs), hasWaitingTasks(), nowMs);
    worker.updateFree();
    state.workloadEstimator.recordRunTime(key, worker.workerId, ranMs);
  }

  private void handleEnd(RunningAttempt attempt, TaskEnd end, boolean unrunnable, long nowMs) {
    QueuedJob job = attempt.job;
    TaskId task = attempt.task;
    int failures = job.failures(task.index());
    RetryPolicy.Action action = retryPolicy.decide(job, failures, end.outcome());
    if (action != RetryPolicy.Action.NO_RETRY && attempt.runsToCompletion() && unrunnable) {
      giveUp(job, ReasonType.FAILED_REPEATEDLY, failedOnWorkersMessage(job));
      return;
    }
    TaskId next = new TaskId(task.jobId(), task.index(), task.attempt() + 1);
    switch (action) {
      case RETRY_NOW -> queueAttempts(job, List.of(next), nowMs);
      case RETRY_LATER -> delayed.addAttempt(job, next, nowMs + retryPolicy.delayMs(failures));
      case EXHAUSTED -> giveUp(job, ReasonType.FAILED_REPEATEDLY, attemptsExhaustedMessage(task));
      default -> removeIfFinished(job);
    }
  }

  private static String failedOnWorkersMessage(QueuedJob job) {
    return "it failed on "
        + job.failedWorkers.size()
        + " workers that run other work: "
        + String.join(", ", job.failedWorkers);
  }

  private String attemptsExhaustedMessage(TaskId task) {
    return "task "
        + task
        + " failed; at most "
        + state.settings.maxAttempts()
        + " attempts are made";
  }

  private void removeIfFinished(QueuedJob job) {
    if (job.finished()) {
      jobs.remove(job.jobId);
    }
  }
}
