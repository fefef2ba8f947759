package org.hickorymoor.domain.policy;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * Starts tasks in order of arrival within each class, on the first worker with room.
 *
 * <p>This is the baseline for comparison with other schedulers: it relies on declared capacities
 * and demands, and does no estimation, admission control or preemption. An all-at-once job starts
 * with all its tasks or not at all. A job that does not fit is skipped, so it does not block other
 * jobs.
 *
 * <pre>{@code
 * CellScheduler scheduler = new FirstFitScheduler(new SplittableRandom(seed));
 * }</pre>
 *
 * <p>This class is not thread-safe.
 */
public final class FirstFitScheduler implements CellScheduler {

  private static final double FULL_CAPACITY_SHARE = 1;
  private static final int MAX_ATTEMPTS = 5;
  private static final long RETRY_BASE_DELAY_MS = 200;
  private static final long RETRY_MAX_DELAY_MS = 30_000;

  private final AllocationTracker allocations = new AllocationTracker(FULL_CAPACITY_SHARE);
  private final Map<String, QueuedJob> jobs = new HashMap<>();
  private final Map<JobClass, Set<QueuedJob>> queues = new EnumMap<>(JobClass.class);
  private final DelayedAttempts delayed = new DelayedAttempts();
  private final ArrayDeque<Decision> pendingGiveUps = new ArrayDeque<>();
  private final RetryPolicy retryPolicy;

  /**
   * Creates a scheduler without workers or jobs.
   *
   * @param random the source of jitter for retry delays
   */
  public FirstFitScheduler(RandomGenerator random) {
    retryPolicy = new RetryPolicy(MAX_ATTEMPTS, RETRY_BASE_DELAY_MS, RETRY_MAX_DELAY_MS, random);
    for (JobClass jobClass : JobClass.values()) {
      queues.put(jobClass, new LinkedHashSet<>());
    }
  }

  @Override
  public Admission admit(JobSpec spec, long nowMs) {
    return Admission.ACCEPTED;
  }

  @Override
  public void submit(String jobId, JobSpec spec, Collection<TaskId> tasks, long nowMs) {
    QueuedJob job = getOrCreateJob(jobId, spec);
    job.addWaiting(tasks);
    enqueue(job);
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
    allocations.updateWorker(profile);
  }

  @Override
  public void workerLost(String workerId) {
    allocations.markWorkerLost(workerId);
  }

  @Override
  public void taskRecovered(TaskId task, JobSpec spec, String workerId, long nowMs) {
    QueuedJob job = getOrCreateJob(task.jobId(), spec);
    job.removeWaiting(task.index());
    allocations.allocate(task, job, workerId, spec.demand(), nowMs);
  }

  @Override
  public void taskEnded(TaskId task, TaskEnd end, long nowMs) {
    RunningAttempt attempt = allocations.release(task);
    if (attempt == null || attempt.job.dropped) {
      return;
    }
    if (end.outcome() == TaskEnd.Outcome.FAILED) {
      attempt.job.countFailure(task.index());
    }
    int failures = attempt.job.failures(task.index());
    TaskId next = new TaskId(task.jobId(), task.index(), task.attempt() + 1);
    switch (retryPolicy.decide(attempt.job, failures, end.outcome())) {
      case RETRY_NOW -> requeue(attempt.job, List.of(next));
      case RETRY_LATER ->
          delayed.addAttempt(attempt.job, next, nowMs + retryPolicy.delayMs(failures));
      case EXHAUSTED -> giveUp(attempt.job, task);
      default -> removeIfFinished(attempt.job);
    }
  }

  @Override
  public void usageReported(String workerId, UsageReport report, long nowMs) {
    // Declared capacities and demands are used, so reports are ignored.
  }

  @Override
  public List<Decision> decide(long nowMs) {
    delayed.release(nowMs, this::requeue);
    List<Decision> decisions = new ArrayList<>(pendingGiveUps);
    pendingGiveUps.clear();
    for (Set<QueuedJob> queue : queues.values()) {
      startQueued(queue, nowMs, decisions);
    }
    return decisions;
  }

  @Override
  public List<String> explain(String jobId, long nowMs) {
    QueuedJob job = jobs.get(jobId);
    if (job == null) {
      return List.of();
    }
    if (!job.waiting().isEmpty()) {
      return List.of(
          job.waiting().size() + " tasks wait for a worker with room for " + job.demand());
    }
    return job.backingOff > 0
        ? List.of(job.backingOff + " tasks wait before another attempt")
        : List.of();
  }

  @Override
  public Resources learnedCapacity(String workerId) {
    WorkerLoad worker = allocations.worker(workerId);
    return worker == null || !worker.present() ? Resources.NONE : worker.capacity();
  }

  private QueuedJob getOrCreateJob(String jobId, JobSpec spec) {
    return jobs.computeIfAbsent(jobId, id -> new QueuedJob(id, spec));
  }

  private Set<QueuedJob> queueOf(QueuedJob job) {
    return requireNonNull(queues.get(job.jobClass()));
  }

  private void enqueue(QueuedJob job) {
    if (!job.waiting().isEmpty()) {
      queueOf(job).add(job);
    }
  }

  private void requeue(QueuedJob job, List<TaskId> tasks) {
    job.addWaiting(tasks);
    enqueue(job);
  }

  private void drop(QueuedJob job) {
    job.drop();
    queueOf(job).remove(job);
  }

  private void giveUp(QueuedJob job, TaskId task) {
    jobs.remove(job.jobId);
    drop(job);
    String message = "task " + task + " failed; at most " + MAX_ATTEMPTS + " attempts are made";
    pendingGiveUps.add(
        new Decision.GiveUp(job.jobId, new Reason(ReasonType.FAILED_REPEATEDLY, message)));
  }

  private void removeIfFinished(QueuedJob job) {
    if (job.finished()) {
      jobs.remove(job.jobId);
    }
  }

  private void startQueued(Set<QueuedJob> queue, long nowMs, List<Decision> decisions) {
    Set<Resources> unfitDemands = new HashSet<>();
    for (Iterator<QueuedJob> all = queue.iterator(); all.hasNext(); ) {
      QueuedJob job = all.next();
      boolean mayFit = job.ready() && !unfitDemands.contains(job.demand());
      if (mayFit && !startJob(job, nowMs, decisions) && !job.allAtOnce()) {
        unfitDemands.add(job.demand());
      }
      if (job.waiting().isEmpty()) {
        all.remove();
      }
    }
  }

  /** Starts the tasks of a job that fit; returns whether all its waiting tasks started. */
  private boolean startJob(QueuedJob job, long nowMs, List<Decision> decisions) {
    List<RunningAttempt> started = new ArrayList<>();
    for (TaskId task : job.waiting()) {
      WorkerLoad worker = firstFit(job.demand());
      if (worker == null) {
        break;
      }
      started.add(allocations.allocate(task, job, worker.workerId, job.demand(), nowMs));
    }
    boolean allStarted = started.size() == job.waiting().size();
    if (job.allAtOnce() && !allStarted) {
      started.forEach(attempt -> allocations.release(attempt.task));
      return false;
    }
    for (RunningAttempt attempt : started) {
      job.removeWaiting(attempt.task.index());
      decisions.add(new Decision.Start(attempt.task, attempt.worker.workerId));
    }
    return allStarted;
  }

  private @Nullable WorkerLoad firstFit(Resources demand) {
    for (WorkerLoad worker : allocations.workers()) {
      if (worker.schedulable() && demand.fitsIn(worker.free())) {
        return worker;
      }
    }
    return null;
  }
}
