package org.hickorymoor.daemon.coordinator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.job.RequestKey;
import org.jspecify.annotations.Nullable;

/** The jobs of a cell, and the tasks placed on each worker. Guarded by the cell's lock. */
final class JobTable {

  private static final int MAX_ENDED_JOBS = 4_000;

  /**
   * A task together with its job.
   *
   * @param job the job
   * @param task one of its tasks
   */
  record Entry(Job job, JobTask task) {}

  private final Map<String, Job> byId = new HashMap<>();
  private final Map<RequestKey, Job> byKey = new HashMap<>();
  private final Map<String, Job> ended = new LinkedHashMap<>();
  private final Map<String, Map<String, Entry>> onWorker = new HashMap<>();

  void add(Job job) {
    byId.put(job.jobId(), job);
    byKey.put(job.spec().request(), job);
  }

  void remove(Job job) {
    byId.remove(job.jobId());
    byKey.remove(job.spec().request(), job);
  }

  @Nullable Job byId(String jobId) {
    return byId.get(jobId);
  }

  @Nullable Job byKey(RequestKey key) {
    return byKey.get(key);
  }

  Collection<Job> all() {
    return byId.values();
  }

  /** Retains an ended job for later queries; evicts the oldest one above the limit. */
  void retainEnded(Job job) {
    ended.put(job.jobId(), job);
    if (ended.size() > MAX_ENDED_JOBS) {
      Job oldest = ended.values().iterator().next();
      ended.remove(oldest.jobId());
      remove(oldest);
    }
  }

  void addPlacement(String workerId, String workerTaskId, Job job, JobTask task) {
    onWorker
        .computeIfAbsent(workerId, unused -> new LinkedHashMap<>())
        .put(workerTaskId, new Entry(job, task));
  }

  void removePlacement(String workerId, String workerTaskId) {
    Map<String, Entry> tasks = onWorker.get(workerId);
    if (tasks == null) {
      return;
    }
    tasks.remove(workerTaskId);
    if (tasks.isEmpty()) {
      onWorker.remove(workerId);
    }
  }

  @Nullable Entry find(String workerId, String workerTaskId) {
    Map<String, Entry> tasks = onWorker.get(workerId);
    return tasks == null ? null : tasks.get(workerTaskId);
  }

  Map<String, Entry> tasksOn(String workerId) {
    return Map.copyOf(onWorker.getOrDefault(workerId, Map.of()));
  }

  List<String> workersWithTasks() {
    return new ArrayList<>(onWorker.keySet());
  }
}
