package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.jspecify.annotations.Nullable;

/**
 * Frees room for urgent jobs on workers that are filled by batch tasks.
 *
 * <p>If a worker is only short of learned processor time, batch tasks on it are throttled.
 * Otherwise the batch tasks that lose the least run time are stopped. Tasks of non-repeatable jobs
 * are never stopped.
 */
final class Preemption {

  private static final int MAX_JOBS_PER_DECISION = 16;
  private static final int MAX_TASKS_PER_JOB = 16;
  private static final long STOP_TIMEOUT_MS = 5_000;
  private static final long THROTTLE_LOSS_MS = 0;

  private final PolicyState state;
  private final FairQueue queue;
  private final Set<RunningAttempt> throttled = new LinkedHashSet<>();

  Preemption(PolicyState state, FairQueue queue) {
    this.state = state;
    this.queue = queue;
  }

  /** Throttles and stops batch tasks for urgent jobs that have waited long enough. */
  void preemptForUrgentJobs(long nowMs, List<Decision> decisions) {
    List<QueuedJob> jobs =
        queue.jobsByAge(JobClass.URGENT).stream().limit(MAX_JOBS_PER_DECISION).toList();
    for (QueuedJob job : jobs) {
      boolean due =
          nowMs - job.agingSinceMs >= state.settings.preemptAfterMs()
              && nowMs >= job.preemptionPendingUntilMs;
      if (due && !job.allAtOnce() && queue.withinQuota(job)) {
        makeRoom(job, nowMs, decisions);
      }
    }
  }

  /** Restores throttled tasks to full speed where they fit, once no urgent job is waiting. */
  void restoreThrottled(List<Decision> decisions) {
    if (!queue.jobsByAge(JobClass.URGENT).isEmpty()) {
      return;
    }
    for (RunningAttempt attempt : List.copyOf(throttled)) {
      int missing = attempt.job.demand().cpuMillis() - attempt.effectiveDemand.cpuMillis();
      if (missing <= attempt.worker.learnedFree().cpuMillis()) {
        throttled.remove(attempt);
        decisions.add(throttle(attempt, RunningAttempt.FULL_SPEED_PERCENT));
      }
    }
  }

  void ended(RunningAttempt attempt) {
    throttled.remove(attempt);
  }

  private void makeRoom(QueuedJob job, long nowMs, List<Decision> decisions) {
    int tasks = Math.min(MAX_TASKS_PER_JOB, job.waiting().size());
    for (int i = 0; i < tasks; i++) {
      Plan plan = cheapestPlan(job, nowMs);
      if (plan == null) {
        return;
      }
      applyPlan(plan, job, nowMs, decisions);
    }
    job.preemptionPendingUntilMs = nowMs + STOP_TIMEOUT_MS;
  }

  private void applyPlan(Plan plan, QueuedJob job, long nowMs, List<Decision> decisions) {
    for (RunningAttempt victim : plan.victims) {
      if (plan.throttles) {
        throttled.add(victim);
        decisions.add(throttle(victim, state.settings.throttlePercent()));
        state.freedWorkers.add(victim.worker);
      } else {
        decisions.add(stop(victim, nowMs));
      }
    }
    if (!plan.throttles) {
      plan.worker.promisedToUrgent = plan.worker.promisedToUrgent.plus(job.demand());
    }
  }

  private static Decision throttle(RunningAttempt attempt, int percent) {
    attempt.worker.throttle(attempt, percent);
    return new Decision.Throttle(attempt.task, attempt.worker.workerId, percent);
  }

  private Decision stop(RunningAttempt attempt, long nowMs) {
    attempt.stopPendingUntilMs = nowMs + STOP_TIMEOUT_MS;
    boolean checkpoint = nowMs - attempt.startedMs >= state.settings.checkpointAfterMs();
    return new Decision.Preempt(attempt.task, attempt.worker.workerId, checkpoint);
  }

  private @Nullable Plan cheapestPlan(QueuedJob job, long nowMs) {
    Resources expected = state.expectedDemand(job);
    Plan best = null;
    for (WorkerLoad worker : state.allocations.workers()) {
      if (!usable(worker, job)) {
        continue;
      }
      Plan plan = throttlePlan(worker, job, expected, nowMs);
      if (plan == null) {
        plan = stopPlan(worker, job, expected, nowMs);
      }
      if (plan != null && (best == null || plan.lossMs < best.lossMs)) {
        best = plan;
      }
    }
    return best;
  }

  private static boolean usable(WorkerLoad worker, QueuedJob job) {
    return worker.schedulable()
        && !worker.health.quarantined
        && !job.avoidsWorker(worker.workerId)
        && job.demand().fitsIn(worker.capacity());
  }

  /** Returns a plan that frees processor time only, or null if that is not sufficient. */
  private @Nullable Plan throttlePlan(
      WorkerLoad worker, QueuedJob job, Resources expected, long nowMs) {
    if (!job.demand().fitsIn(worker.free())) {
      return null;
    }
    Resources learnedFree = worker.learnedFree();
    List<RunningAttempt> victims = new ArrayList<>();
    for (RunningAttempt attempt : worker.attempts.values()) {
      if (expected.fitsIn(learnedFree)) {
        break;
      }
      if (attempt.throttlable(nowMs)) {
        Resources slow = attempt.demandAtSpeed(state.settings.throttlePercent());
        learnedFree = learnedFree.plus(attempt.effectiveDemand.minus(slow));
        victims.add(attempt);
      }
    }
    boolean helps = !victims.isEmpty() && expected.fitsIn(learnedFree);
    return helps ? new Plan(worker, victims, true, THROTTLE_LOSS_MS) : null;
  }

  /** Returns a plan that stops the most recently started tasks, or null if none suffices. */
  private @Nullable Plan stopPlan(
      WorkerLoad worker, QueuedJob job, Resources expected, long nowMs) {
    Resources pending = pendingFree(worker, nowMs);
    List<RunningAttempt> victims = new ArrayList<>();
    long lossMs = 0;
    for (RunningAttempt attempt : latestFirst(worker, nowMs)) {
      if (suffices(worker, job, expected, pending)) {
        break;
      }
      victims.add(attempt);
      pending = pending.plus(attempt.job.demand());
      lossMs += 1 + nowMs - attempt.startedMs;
    }
    return suffices(worker, job, expected, pending)
        ? new Plan(worker, victims, false, lossMs)
        : null;
  }

  private static boolean suffices(
      WorkerLoad worker, QueuedJob job, Resources expected, Resources pending) {
    boolean empty = worker.used().minus(pending).fitsIn(Resources.NONE);
    return job.demand().fitsIn(worker.free().plus(pending))
        && (empty || expected.fitsIn(worker.learnedFree().plus(pending)));
  }

  /** Returns what pending stops will free, less the part already promised to urgent jobs. */
  private static Resources pendingFree(WorkerLoad worker, long nowMs) {
    Resources pending = Resources.NONE;
    for (RunningAttempt attempt : worker.attempts.values()) {
      if (attempt.stopPending(nowMs)) {
        pending = pending.plus(attempt.job.demand());
      }
    }
    if (pending.equals(Resources.NONE)) {
      worker.promisedToUrgent = Resources.NONE;
    }
    return pending.minus(worker.promisedToUrgent);
  }

  private static List<RunningAttempt> latestFirst(WorkerLoad worker, long nowMs) {
    return worker.attempts.values().stream()
        .filter(attempt -> attempt.preemptible(nowMs))
        .sorted(Comparator.comparingLong((RunningAttempt a) -> a.startedMs).reversed())
        .toList();
  }

  private record Plan(
      WorkerLoad worker, List<RunningAttempt> victims, boolean throttles, long lossMs) {}
}
