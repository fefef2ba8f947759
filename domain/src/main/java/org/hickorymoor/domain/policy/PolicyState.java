package org.hickorymoor.domain.policy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.TaskId;

/** What the parts of the policy share: the workers, their use, and what was learned. */
final class PolicyState {

  private static final int MAX_KNOWN_CAPACITIES = 64;

  final AllocationTracker allocations;
  final WorkloadEstimator workloads = new WorkloadEstimator();
  PolicySettings settings;

  /** Workers that may have gained room since the last decision. */
  final Set<WorkerLoad> freedWorkers = new LinkedHashSet<>();

  /** Number of the present decision. */
  long decisionNumber;

  private final Map<Resources, Boolean> fitsByDemand = new HashMap<>();
  private final Set<Resources> knownCapacities = new LinkedHashSet<>();
  private Resources total = Resources.NONE;

  PolicyState(PolicySettings settings) {
    this.settings = settings;
    this.allocations = new AllocationTracker(settings.initialCapacityShare());
  }

  Resources expectedDemand(QueuedJob job) {
    return workloads.expectedDemand(job.workloadKey, job.demand());
  }

  /** Returns the declared capacity of all open workers. */
  Resources total() {
    return total;
  }

  /** Works out anew what depends on which workers there are. */
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

  /** Tells whether the open workers could hold the waiting tasks of a job if they were empty. */
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

  /** Tells whether any worker ever seen could hold one task of a job. */
  boolean fitsKnownCapacity(QueuedJob job) {
    return knownCapacities.stream().anyMatch(job.demand()::fitsIn);
  }

  /** Tells whether a worker may be given an attempt of a job, room aside. */
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

  /** Tells whether a worker has room for an attempt of a job. */
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
   * Tells whether a worker that was drained for a job may be given more of it than the learned
   * capacity allows, so that learning never keeps a job away for good.
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

  /** Counts an attempt as in use. */
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
   * Tells whether a worker that was set aside may be tried with a job. Work that a failure would
   * hurt is used for that only where no other worker could hold it.
   */
  private boolean mayProbe(WorkerHealth health, QueuedJob job, long nowMs) {
    if (health.probe != null || nowMs < health.probeAtMs) {
      return false;
    }
    boolean safeToFail =
        job.spec.repeatable() && !job.allAtOnce() && job.jobClass() != JobClass.URGENT;
    return safeToFail || !healthyWorkersFit(job);
  }

  /** Tells whether the workers that are not set aside could hold a job if they were empty. */
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
