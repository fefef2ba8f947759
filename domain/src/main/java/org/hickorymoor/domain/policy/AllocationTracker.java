package org.hickorymoor.domain.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.TaskId;
import org.jspecify.annotations.Nullable;

/** Tracks the workers and the attempts that are allocated on them. */
final class AllocationTracker {

  private final double initialCapacityShare;
  private final Map<String, WorkerLoad> workers = new LinkedHashMap<>();
  private final Map<TaskId, RunningAttempt> attempts = new HashMap<>();
  private Resources used = Resources.NONE;

  /**
   * Creates a tracker without workers.
   *
   * @param initialCapacityShare the initial learned capacity of a worker, as a share of its
   *     declared capacity
   */
  AllocationTracker(double initialCapacityShare) {
    this.initialCapacityShare = initialCapacityShare;
  }

  WorkerLoad updateWorker(WorkerProfile profile) {
    WorkerLoad worker = getOrCreateWorker(profile.workerId());
    worker.update(profile);
    return worker;
  }

  /** Marks a worker as lost; it is removed once no attempt is allocated on it. */
  @Nullable WorkerLoad markWorkerLost(String workerId) {
    WorkerLoad worker = workers.get(workerId);
    if (worker != null) {
      worker.markLost();
      removeIfUnused(worker);
    }
    return worker;
  }

  /** Allocates an attempt on a worker; returns the existing allocation if there is one. */
  RunningAttempt allocate(
      TaskId task, QueuedJob job, String workerId, Resources expected, long nowMs) {
    RunningAttempt known = attempts.get(task);
    if (known != null) {
      return known;
    }
    WorkerLoad worker = getOrCreateWorker(workerId);
    RunningAttempt attempt = new RunningAttempt(task, job, worker, expected, nowMs);
    worker.add(attempt);
    attempts.put(task, attempt);
    job.running++;
    job.runningByRack.merge(attempt.rack, 1, Integer::sum);
    used = used.plus(job.demand());
    return attempt;
  }

  /** Releases the allocation of an attempt; returns null if there is none. */
  @Nullable RunningAttempt release(TaskId task) {
    RunningAttempt attempt = attempts.remove(task);
    if (attempt != null) {
      attempt.worker.remove(attempt);
      attempt.job.running--;
      attempt.job.runningByRack.merge(attempt.rack, -1, AllocationTracker::sumOrNull);
      used = used.minus(attempt.job.demand());
      removeIfUnused(attempt.worker);
    }
    return attempt;
  }

  Collection<WorkerLoad> workers() {
    return workers.values();
  }

  @Nullable WorkerLoad worker(String workerId) {
    return workers.get(workerId);
  }

  @Nullable RunningAttempt attempt(TaskId task) {
    return attempts.get(task);
  }

  /** Returns the declared demand of all allocated attempts. */
  Resources used() {
    return used;
  }

  private static @Nullable Integer sumOrNull(int a, int b) {
    return a + b == 0 ? null : a + b;
  }

  private WorkerLoad getOrCreateWorker(String workerId) {
    return workers.computeIfAbsent(workerId, id -> new WorkerLoad(id, initialCapacityShare));
  }

  private void removeIfUnused(WorkerLoad worker) {
    if (!worker.present() && worker.attempts.isEmpty()) {
      workers.remove(worker.workerId);
    }
  }
}
