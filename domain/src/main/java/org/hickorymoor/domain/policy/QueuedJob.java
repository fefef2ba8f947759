package org.hickorymoor.domain.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.domain.job.TaskId;
import org.jspecify.annotations.Nullable;

/** A job that the scheduler knows, with the attempts of it that wait. */
final class QueuedJob {

  private static final int MAX_AVOIDANCE_DELAYS = 4;

  final String jobId;
  final JobSpec spec;
  final WorkloadKey workloadKey;

  /** Workers on which an attempt failed, until one succeeds. */
  final Set<String> failedWorkers = new HashSet<>();

  /** Delays since the last start that were spent on avoiding those workers. */
  int avoidanceDelays;

  /** Number of attempts that count as in use in each rack. */
  final Map<String, Integer> runningByRack = new LinkedHashMap<>();

  /** Place in the fair queue, or null while it is in none. */
  @Nullable TeamQueue queue;

  /** Workers held for it, or null. */
  @Nullable Reservation reservation;

  /** Order of arrival; lower came first. */
  long sequence;

  /** Time since which it waits without a start or a reservation. */
  long agingSinceMs;

  /** Time until which room freed for it by preemption is awaited. */
  long preemptionPendingUntilMs;

  /** Times that work in need of accelerators went first. */
  int acceleratorSkips;

  /** Waiting attempts that the fair queue has counted. */
  int countedWaiting;

  /** Attempts that wait for the end of their back-off. */
  int backingOff;

  /** Attempts that count as in use on a worker. */
  int running;

  /** True once an attempt succeeded. */
  boolean succeededOnce;

  /** True once it is cancelled or given up: nothing of it starts any more. */
  boolean dropped;

  private final Map<Integer, Integer> failures = new HashMap<>();
  private Map<Integer, TaskId> waiting = new LinkedHashMap<>();

  QueuedJob(String jobId, JobSpec spec) {
    this.jobId = jobId;
    this.spec = spec;
    this.workloadKey = new WorkloadKey(spec.request().team(), spec.name());
  }

  String team() {
    return workloadKey.team();
  }

  JobClass jobClass() {
    return spec.jobClass();
  }

  Resources demand() {
    return spec.demand();
  }

  boolean allAtOnce() {
    return spec.kind() == JobKind.ALL_AT_ONCE;
  }

  boolean spreadOverRacks() {
    return spec.kind() == JobKind.SERVICE || spec.spread() == Spread.RACKS;
  }

  Collection<TaskId> waiting() {
    return waiting.values();
  }

  /** Tells whether its waiting attempts may start: those of an all-at-once job go together. */
  boolean ready() {
    return !waiting.isEmpty() && !(allAtOnce() && backingOff > 0);
  }

  /** Tells whether no attempt of it runs or ever will. */
  boolean finished() {
    return running == 0 && backingOff == 0 && waiting.isEmpty();
  }

  /** Adds attempts, each index at most once: a later attempt takes the place of an earlier one. */
  void addWaiting(Collection<TaskId> attempts) {
    for (TaskId attempt : attempts) {
      waiting.put(attempt.index(), attempt);
    }
  }

  /** Removes the waiting attempt at a task, if there is one. */
  void removeWaiting(int index) {
    waiting.remove(index);
  }

  /** Tells whether it waits for another worker rather than starting on this one. */
  boolean avoidsWorker(String workerId) {
    return avoidanceDelays < MAX_AVOIDANCE_DELAYS && failedWorkers.contains(workerId);
  }

  /** Lets its next attempt start on any worker. */
  void stopAvoiding() {
    avoidanceDelays = MAX_AVOIDANCE_DELAYS;
  }

  /** Tells whether it waits for another worker than those on which it failed. */
  boolean avoidsAnyWorker() {
    return avoidanceDelays < MAX_AVOIDANCE_DELAYS && !failedWorkers.isEmpty();
  }

  void countFailure(int index) {
    failures.merge(index, 1, Integer::sum);
  }

  /** Returns how often a task has failed. */
  int failures(int index) {
    return failures.getOrDefault(index, 0);
  }

  /** Forgets all waiting attempts, in constant time. */
  void drop() {
    dropped = true;
    waiting = new LinkedHashMap<>();
  }
}
