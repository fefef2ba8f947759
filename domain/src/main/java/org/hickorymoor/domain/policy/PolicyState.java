package org.hickorymoor.domain.policy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.TaskId;

/** State shared by the components of the policy: settings, workers, allocations and estimates. */
final class PolicyState {

  private static final int MAX_KNOWN_CAPACITIES = 64;

  final AllocationTracker allocations;
  final WorkloadEstimator workloadEstimator = new WorkloadEstimator();
  PolicySettings settings;

  /** Workers on which room may have been freed since the last decision. */
  final Set<WorkerLoad> freedWorkers = new LinkedHashSet<>();

  /** Sequence number of the current decision. */
  long decisionNumber;

  private final Map<Resources, Boolean> fitsByDemand = new HashMap<>();
  private final Set<Resources> knownCapacities = new LinkedHashSet<>();
  private Resources total = Resources.NONE;

  PolicyState(PolicySettings settings) {
    this.settings = settings;
    this.allocations = new AllocationTracker(settings.initialCapacityShare());
  }

  Resources expectedDemand(QueuedJob job) {
    return workloadEstimator.expectedDemand(job.workloadKey, job.demand());
  }

  /** Returns the total declared capacity of all schedulable workers. */
  Resources total() {
    return total;
  }

  /** Recomputes the totals and clears the cache that depend on the set of workers. */
  void workersChanged() {
    fitsByDemand.clear();
    total = Resources.NONE;
    for (WorkerLoad worker : allocations.workers()) {
      if (worker.schedulable()) {
        total = total.plus(worker.capacity());
        recordCapacity(worker.capacity());
      }
    }
  }

  /** Returns whether the waiting tasks of a job would fit on the workers if these were empty. */
  boolean fitsWhenEmpty(QueuedJob job) {
    if (!job.allAtOnce()) {
      return fitsByDemand.computeIfAbsent(job.demand(), this::fitsSomeWorker);
    }
    long count = 0;
    for (WorkerLoad worker : allocations.workers()) {
      count +=
          worker.schedulable() ? ResourceMath.countFitting(worker.capacity(), job.demand()) : 0;
    }
    return count >= job.waiting().size();
  }

  /** Returns whether one task of a job fits the capacity of any worker seen so far. */
  boolean fitsKnownCapacity(QueuedJob job) {
    return knownCapacities.stream().anyMatch(job.demand()::fitsIn);
  }

  /** Returns whether a worker may run a task of a job, regardless of free capacity. */
  boolean eligible(WorkerLoad worker, QueuedJob job, long nowMs) {
    if (!worker.schedulable()) {
      return false;
    }
    if (worker.health.quarantined && !mayProbe(worker.health, job, nowMs)) {
      return false;
    }
    return worker.reservation == null
        || worker.reservation.job() == job
        || job.jobClass() == JobClass.URGENT;
  }

  /** Returns whether a worker has free capacity for a task of a job. */
  boolean hasRoom(WorkerLoad worker, QueuedJob job, Resources expected) {
    if (worker.hasRoom(job.demand(), expected)) {
      return true;
    }
    Reservation reservation = worker.reservation;
    return reservation != null
        && reservation.job() == job
        && job.demand().fitsIn(worker.free())
        && worker.drainedFor(job)
        && mayExceedLearnedCapacity(worker, reservation, expected);
  }

  /**
   * Returns whether a job may exceed the learned capacity of a worker that was drained for it.
   * Otherwise too low an estimate could keep the job from ever starting.
   */
  private static boolean mayExceedLearnedCapacity(
      WorkerLoad worker, Reservation reservation, Resources expected) {
    if (reservation.usesDeclaredDemand()) {
      return true;
    }
    Resources all = expected;
    for (RunningAttempt attempt : worker.attempts.values()) {
      all = all.plus(attempt.expectedDemand);
    }
    return all.fitsIn(worker.capacity());
  }

  /** Allocates the demand of an attempt on a worker. */
  RunningAttempt allocate(TaskId task, QueuedJob job, String workerId, long nowMs) {
    return allocations.allocate(task, job, workerId, expectedDemand(job), nowMs);
  }

  private boolean fitsSomeWorker(Resources demand) {
    for (WorkerLoad worker : allocations.workers()) {
      if (worker.schedulable() && demand.fitsIn(worker.capacity())) {
        return true;
      }
    }
    return false;
  }

  private void recordCapacity(Resources capacity) {
    if (knownCapacities.size() < MAX_KNOWN_CAPACITIES) {
      knownCapacities.add(capacity);
    }
  }

  /**
   * Returns whether a quarantined worker may be probed with a job. Non-repeatable, all-at-once and
   * urgent jobs, for which a failure is costly, are used only if they fit on no other worker.
   */
  private boolean mayProbe(WorkerHealth health, QueuedJob job, long nowMs) {
    if (health.probe != null || nowMs < health.probeAtMs) {
      return false;
    }
    boolean safeToFail =
        job.spec.repeatable() && !job.allAtOnce() && job.jobClass() != JobClass.URGENT;
    return safeToFail || !healthyWorkersFit(job);
  }

  /** Returns whether a job would fit on the workers not in quarantine if these were empty. */
  private boolean healthyWorkersFit(QueuedJob job) {
    long remaining = job.allAtOnce() ? job.waiting().size() : 1;
    for (WorkerLoad worker : allocations.workers()) {
      if (worker.schedulable() && !worker.health.quarantined) {
        remaining -= ResourceMath.countFitting(worker.capacity(), job.demand());
      }
    }
    return remaining <= 0;
  }
}
