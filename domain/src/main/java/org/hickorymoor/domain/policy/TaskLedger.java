package org.hickorymoor.domain.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.job.TaskId;
import org.jspecify.annotations.Nullable;

/** Keeps account of the workers and of every attempt that counts as in use. */
final class TaskLedger {

  private final Map<String, WorkerLoad> workers = new LinkedHashMap<>();
  private final Map<TaskId, RunningAttempt> attempts = new HashMap<>();

  WorkerLoad seen(WorkerProfile profile) {
    WorkerLoad worker = workerOrNew(profile.workerId());
    worker.seen(profile);
    return worker;
  }

  /** Marks a worker as lost; it is forgotten once nothing counts as in use on it. */
  @Nullable WorkerLoad lost(String workerId) {
    WorkerLoad worker = workers.get(workerId);
    if (worker != null) {
      worker.lost();
      forgetIfGone(worker);
    }
    return worker;
  }

  /** Counts an attempt as in use; one that is counted already stays as it is. */
  RunningAttempt start(TaskId task, QueuedJob job, String workerId, long nowMs) {
    RunningAttempt known = attempts.get(task);
    if (known != null) {
      return known;
    }
    WorkerLoad worker = workerOrNew(workerId);
    RunningAttempt attempt = new RunningAttempt(task, job, worker, nowMs);
    worker.add(attempt);
    attempts.put(task, attempt);
    job.running++;
    return attempt;
  }

  /** Frees an attempt; returns null if it was not counted. */
  @Nullable RunningAttempt end(TaskId task) {
    RunningAttempt attempt = attempts.remove(task);
    if (attempt != null) {
      attempt.worker.remove(attempt);
      attempt.job.running--;
      forgetIfGone(attempt.worker);
    }
    return attempt;
  }

  Collection<WorkerLoad> workers() {
    return workers.values();
  }

  @Nullable WorkerLoad worker(String workerId) {
    return workers.get(workerId);
  }

  int attemptCount() {
    return attempts.size();
  }

  private WorkerLoad workerOrNew(String workerId) {
    return workers.computeIfAbsent(workerId, WorkerLoad::new);
  }

  private void forgetIfGone(WorkerLoad worker) {
    if (!worker.present() && worker.attempts.isEmpty()) {
      workers.remove(worker.workerId);
    }
  }
}
