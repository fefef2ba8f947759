package org.hickorymoor.domain.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.TaskId;
import org.jspecify.annotations.Nullable;

/** Keeps account of the workers and of every attempt that counts as in use. */
final class AllocationTracker {

  private final double initialCapacityShare;
  private final Map<String, WorkerLoad> workers = new LinkedHashMap<>();
  private final Map<TaskId, RunningAttempt> attempts = new HashMap<>();
  private Resources used = Resources.NONE;

  /**
   * Creates a ledger without workers.
   *
   * @param initialCapacityShare share of its declared capacity that a new worker is trusted with
   */
  AllocationTracker(double initialCapacityShare) {
    this.initialCapacityShare = initialCapacityShare;
  }

  WorkerLoad updateWorker(WorkerProfile profile) {
    WorkerLoad worker = getOrCreateWorker(profile.workerId());
    worker.update(profile);
    return worker;
  }

  /** Marks a worker as lost; it is forgotten once nothing counts as in use on it. */
  @Nullable WorkerLoad markWorkerLost(String workerId) {
    WorkerLoad worker = workers.get(workerId);
    if (worker != null) {
      worker.markLost();
      removeIfUnused(worker);
    }
    return worker;
  }

  /** Counts an attempt as in use; one that is counted already stays as it is. */
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

  /** Frees an attempt; returns null if it was not counted. */
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

  /** Returns the declared size of all that counts as in use. */
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
