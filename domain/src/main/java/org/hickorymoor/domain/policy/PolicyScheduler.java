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
 * Places unlike work on workers whose real capacity has to be learned.
 *
 * <pre>{@code
 * PolicySettings settings = PolicySettings.DEFAULT.withWeights(0.7, 0.2, 0.1);
 * CellScheduler scheduler = new PolicyScheduler(settings, new SplittableRandom(seed));
 * }</pre>
 *
 * <p>Queues are fair between teams within a class. Jobs that fit nowhere block nobody. Jobs that
 * have waited too long get workers drained for them. Urgent jobs may throttle or stop batch tasks.
 * Workers that fail everything are set aside, and jobs that fail everywhere given up.
 *
 * <p>Attempts that fail are repeated after a back-off, unless the job must not be repeated. An
 * attempt that never started is always tried again.
 *
 * <p>One call of {@link #decide} makes a bounded number of starts; call it again at once if it made
 * that many. Not safe for use by several threads.
 */
public final class PolicyScheduler implements CellScheduler {

  private final Cell cell;
  private final FairQueue queue;
  private final Reservations reservations;
  private final Suspicion suspicion;
  private final Starter starter;
  private final Preemption preemption;
  private final AdmissionControl admission;
  private final Explainer explainer;
  private final DelayedAttempts delayed = new DelayedAttempts();
  private final Map<String, QueuedJob> jobs = new HashMap<>();
  private final List<Decision> givenUp = new ArrayList<>();
  private final RandomGenerator random;
  private RetryRules retryRules;

  /**
   * Creates a scheduler without workers or jobs.
   *
   * @param settings what the deployment wants
   * @param random source of the jitter in retry delays
   */
  public PolicyScheduler(PolicySettings settings, RandomGenerator random) {
    this.random = random;
    cell = new Cell(settings);
    queue = new FairQueue(settings);
    reservations = new Reservations(cell, queue);
    suspicion = new Suspicion(cell);
    starter = new Starter(cell, queue, reservations, suspicion, delayed, this::giveUp);
    preemption = new Preemption(cell, queue);
    admission = new AdmissionControl(cell, queue);
    explainer = new Explainer(cell, queue);
    retryRules = retryRules(settings);
  }

  /**
   * Changes the settings from the next decision on; the start of the learned capacity stays as it
   * was.
   *
   * @param settings the new settings
   */
  @Override
  public void reconfigure(PolicySettings settings) {
    cell.settings = settings;
    queue.setSettings(settings);
    retryRules = retryRules(settings);
    starter.retryUnplaceable();
  }

  @Override
  public Admission admit(JobSpec spec, long nowMs) {
    return admission.admit(spec, nowMs);
  }

  @Override
  public void submit(String jobId, JobSpec spec, Collection<TaskId> tasks, long nowMs) {
    queueAttempts(jobOrNew(jobId, spec), tasks, nowMs);
  }

  @Override
  public void cancel(String jobId) {
    QueuedJob job = jobs.remove(jobId);
    if (job != null) {
      drop(job);
    }
  }

  @Override
  public void workerSeen(WorkerProfile profile, long nowMs) {
    WorkerLoad known = cell.ledger.worker(profile.workerId());
    if (known != null && known.present() && known.profile().equals(profile)) {
      return;
    }
    cell.gainedRoom.add(cell.ledger.seen(profile));
    workersChanged();
    starter.retryUnplaceable();
  }

  @Override
  public void workerLost(String workerId) {
    WorkerLoad worker = cell.ledger.lost(workerId);
    if (worker != null) {
      suspicion.forget(worker);
      workersChanged();
    }
  }

  @Override
  public void taskFound(TaskId task, JobSpec spec, String workerId, long nowMs) {
    if (cell.ledger.attempt(task) != null) {
      return;
    }
    QueuedJob job = jobOrNew(task.jobId(), spec);
    job.removeWaiting(task.index());
    queue.recount(job);
    cell.start(task, job, workerId, nowMs);
    queue.charge(job.team(), job.demand());
  }

  @Override
  public void taskEnded(TaskId task, TaskEnd end, long nowMs) {
    RunningAttempt attempt = cell.ledger.end(task);
    if (attempt == null) {
      return;
    }
    attempt.worker.rememberEnd(attempt, nowMs);
    cell.gainedRoom.add(attempt.worker);
    queue.refund(attempt.job.team(), attempt.job.demand());
    preemption.ended(attempt);
    boolean hopeless = learn(attempt, end, nowMs);
    suspicion.ended(attempt);
    if (!attempt.job.dropped) {
      followUp(attempt, end, hopeless, nowMs);
    }
  }

  @Override
  public void usageReported(String workerId, UsageReport report, long nowMs) {
    WorkerLoad worker = cell.ledger.worker(workerId);
    if (worker == null) {
      return;
    }
    Resources limit = Amounts.shareOf(worker.capacity(), 1 - cell.settings.capacityMargin());
    boolean fresh =
        worker.learner.reported(
            report, limit, worker.attempts.values(), worker.recentEnds, workWaits(), nowMs);
    if (fresh) {
      UsageAttribution.attribute(worker, report, nowMs, cell.sizes);
      worker.refresh();
      cell.gainedRoom.add(worker);
    }
  }

  @Override
  public List<Decision> decide(long nowMs) {
    cell.decision++;
    delayed.release(nowMs, (job, tasks) -> queueAttempts(job, tasks, nowMs));
    suspicion.update(nowMs);
    reservations.update(nowMs);
    List<Decision> decisions = starter.startAll(nowMs);
    admission.started(decisions.size(), nowMs);
    preemption.relieve(nowMs, decisions);
    preemption.restore(decisions);
    decisions.addAll(givenUp);
    givenUp.clear();
    return decisions;
  }

  @Override
  public List<String> explain(String jobId, long nowMs) {
    QueuedJob job = jobs.get(jobId);
    return job == null ? List.of() : explainer.explain(job, nowMs);
  }

  @Override
  public Resources learnedCapacity(String workerId) {
    WorkerLoad worker = cell.ledger.worker(workerId);
    return worker == null || !worker.present() ? Resources.NONE : worker.learnedCapacity();
  }

  private RetryRules retryRules(PolicySettings settings) {
    return new RetryRules(
        settings.maxAttempts(), settings.retryBaseDelayMs(), settings.retryMaxDelayMs(), random);
  }

  private QueuedJob jobOrNew(String jobId, JobSpec spec) {
    return jobs.computeIfAbsent(jobId, id -> new QueuedJob(id, spec));
  }

  private boolean workWaits() {
    return queue.waitingTasks() > 0;
  }

  private void queueAttempts(QueuedJob job, Collection<TaskId> tasks, long nowMs) {
    if (job.queue == null) {
      job.agingSinceMs = nowMs;
    }
    job.addWaiting(tasks);
    starter.add(job);
  }

  private void drop(QueuedJob job) {
    job.drop();
    starter.remove(job);
  }

  private void giveUp(QueuedJob job, ReasonType type, String message) {
    jobs.remove(job.jobId);
    drop(job);
    givenUp.add(new Decision.GiveUp(job.jobId, new Reason(type, message)));
  }

  private void workersChanged() {
    cell.workersChanged();
    queue.setTotal(cell.total());
  }

  /** Learns from an end; returns whether the job can't succeed anywhere. */
  private boolean learn(RunningAttempt attempt, TaskEnd end, long nowMs) {
    if (end.outcome() == TaskEnd.Outcome.FAILED) {
      attempt.job.countFailure(attempt.task.index());
      return suspicion.failed(attempt, nowMs);
    }
    if (end.outcome() == TaskEnd.Outcome.SUCCEEDED) {
      suspicion.succeeded(attempt);
      if (attempt.drains() && !attempt.everThrottled) {
        learnRunTime(attempt, end.ranMs(), nowMs);
      }
    }
    return false;
  }

  private void learnRunTime(RunningAttempt attempt, long ranMs, long nowMs) {
    WorkerLoad worker = attempt.worker;
    WorkKey key = attempt.job.workKey;
    worker.learner.completed(cell.sizes.relativeRunTime(key, ranMs), workWaits(), nowMs);
    worker.refresh();
    cell.sizes.ran(key, worker.workerId, ranMs);
  }

  private void followUp(RunningAttempt attempt, TaskEnd end, boolean hopeless, long nowMs) {
    QueuedJob job = attempt.job;
    TaskId task = attempt.task;
    int failures = job.failures(task.index());
    RetryRules.Verdict verdict = retryRules.judge(job, failures, end.outcome());
    if (verdict != RetryRules.Verdict.OVER && attempt.drains() && hopeless) {
      giveUp(job, ReasonType.FAILED_REPEATEDLY, failedOn(job));
      return;
    }
    TaskId next = new TaskId(task.jobId(), task.index(), task.attempt() + 1);
    switch (verdict) {
      case RETRY_NOW -> queueAttempts(job, List.of(next), nowMs);
      case RETRY_LATER -> delayed.add(job, next, nowMs + retryRules.delayMs(failures));
      case EXHAUSTED -> giveUp(job, ReasonType.FAILED_REPEATEDLY, exhausted(task));
      default -> forgetIfOver(job);
    }
  }

  private static String failedOn(QueuedJob job) {
    return "it failed on "
        + job.failedWorkers.size()
        + " workers that run other work: "
        + String.join(", ", job.failedWorkers);
  }

  private String exhausted(TaskId task) {
    return "task "
        + task
        + " failed; at most "
        + cell.settings.maxAttempts()
        + " attempts are made";
  }

  private void forgetIfOver(QueuedJob job) {
    if (job.over()) {
      jobs.remove(job.jobId);
    }
  }
}
