package org.hickorymoor.domain.policy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.TaskId;

/** What the parts of the policy share: the workers, their use, and what was learned. */
final class Cell {

  private static final int MAX_CAPACITIES_REMEMBERED = 64;

  final TaskLedger ledger;
  final SizeLearner sizes = new SizeLearner();
  PolicySettings settings;

  /** Workers that may have gained room since the last decision. */
  final Set<WorkerLoad> gainedRoom = new LinkedHashSet<>();

  /** Number of the present decision. */
  long decision;

  private final Map<Resources, Boolean> fitsDeclared = new HashMap<>();
  private final Set<Resources> capacitiesEverSeen = new LinkedHashSet<>();
  private Resources total = Resources.NONE;

  Cell(PolicySettings settings) {
    this.settings = settings;
    this.ledger = new TaskLedger(settings.initialCapacityShare());
  }

  Resources expected(QueuedJob job) {
    return sizes.expected(job.workKey, job.demand());
  }

  /** Returns the declared capacity of all open workers. */
  Resources total() {
    return total;
  }

  /** Works out anew what depends on which workers there are. */
  void workersChanged() {
    fitsDeclared.clear();
    total = Resources.NONE;
    for (WorkerLoad worker : ledger.workers()) {
      if (worker.open()) {
        total = total.plus(worker.capacity());
        rememberCapacity(worker.capacity());
      }
    }
  }

  /** Tells whether the open workers could hold the waiting tasks of a job if they were empty. */
  boolean couldHold(QueuedJob job) {
    if (!job.allAtOnce()) {
      return fitsDeclared.computeIfAbsent(job.demand(), this::fitsSomeWorker);
    }
    long count = 0;
    for (WorkerLoad worker : ledger.workers()) {
      count += worker.open() ? Amounts.count(worker.capacity(), job.demand()) : 0;
    }
    return count >= job.waiting().size();
  }

  /** Tells whether any worker ever seen could hold one task of a job. */
  boolean everHeld(QueuedJob job) {
    return capacitiesEverSeen.stream().anyMatch(job.demand()::fitsIn);
  }

  /** Tells whether a worker may be given an attempt of a job, room aside. */
  boolean admits(WorkerLoad worker, QueuedJob job, long nowMs) {
    if (!worker.open()) {
      return false;
    }
    if (worker.health.suspect && !mayProbe(worker.health, job, nowMs)) {
      return false;
    }
    return worker.reservation == null
        || worker.reservation.job() == job
        || job.jobClass() == JobClass.URGENT;
  }

  /** Tells whether a worker has room for an attempt of a job. */
  boolean hasRoom(WorkerLoad worker, QueuedJob job, Resources expected) {
    if (worker.holds(job.demand(), expected)) {
      return true;
    }
    Reservation held = worker.reservation;
    return held != null
        && held.job() == job
        && job.demand().fitsIn(worker.free())
        && worker.drainedFor(job)
        && mayFill(worker, held, expected);
  }

  /**
   * Tells whether a worker that was drained for a job may be given more of it than the learned
   * capacity allows, so that learning never keeps a job away for good.
   */
  private static boolean mayFill(WorkerLoad worker, Reservation held, Resources expected) {
    if (held.trustsDeclared()) {
      return true;
    }
    Resources all = expected;
    for (RunningAttempt attempt : worker.attempts.values()) {
      all = all.plus(attempt.expected);
    }
    return all.fitsIn(worker.capacity());
  }

  /** Counts an attempt as in use. */
  RunningAttempt start(TaskId task, QueuedJob job, String workerId, long nowMs) {
    return ledger.start(task, job, workerId, expected(job), nowMs);
  }

  private boolean fitsSomeWorker(Resources demand) {
    for (WorkerLoad worker : ledger.workers()) {
      if (worker.open() && demand.fitsIn(worker.capacity())) {
        return true;
      }
    }
    return false;
  }

  private void rememberCapacity(Resources capacity) {
    if (capacitiesEverSeen.size() < MAX_CAPACITIES_REMEMBERED) {
      capacitiesEverSeen.add(capacity);
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
    boolean harmless =
        job.spec.repeatable() && !job.allAtOnce() && job.jobClass() != JobClass.URGENT;
    return harmless || !othersCouldHold(job);
  }

  /** Tells whether the workers that are not set aside could hold a job if they were empty. */
  private boolean othersCouldHold(QueuedJob job) {
    long wanted = job.allAtOnce() ? job.waiting().size() : 1;
    for (WorkerLoad worker : ledger.workers()) {
      if (worker.open() && !worker.health.suspect) {
        wanted -= Amounts.count(worker.capacity(), job.demand());
      }
    }
    return wanted <= 0;
  }
}
