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

/** A job known to the scheduler, with its waiting attempts. */
final class QueuedJob {

  private static final int MAX_AVOIDANCE_DELAYS = 4;

  final String jobId;
  final JobSpec spec;
  final WorkloadKey workloadKey;

  /** Workers on which an attempt failed; cleared when an attempt succeeds. */
  final Set<String> failedWorkers = new HashSet<>();

  /** Number of delays since the last start that were made to avoid the failed workers. */
  int avoidanceDelays;

  /** Number of allocated attempts by rack. */
  final Map<String, Integer> runningByRack = new LinkedHashMap<>();

  /** Team queue that the job is in, or null if it is not queued. */
  @Nullable TeamQueue queue;

  /** Reservation of workers for this job, or null. */
  @Nullable Reservation reservation;

  /** Sequence number of arrival, or 0 before the job is first queued. */
  long sequence;

  /** Time from which waiting counts; reset by a start and by a failed or expired reservation. */
  long agingSinceMs;

  /** Time until which preempted room is awaited, so that no further task is preempted. */
  long preemptionPendingUntilMs;

  /** Number of times since the last start that a job needing accelerators was preferred. */
  int acceleratorSkips;

  /** Number of waiting attempts included in the totals of the fair queue. */
  int countedWaiting;

  /** Number of attempts in back-off before a retry. */
  int backingOff;

  /** Number of allocated attempts. */
  int running;

  /** True once an attempt succeeded. */
  boolean succeededOnce;

  /** True once the job is cancelled or given up; no task of it starts afterwards. */
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

  /** Returns whether waiting attempts may start; those of an all-at-once job start together. */
  boolean ready() {
    return !waiting.isEmpty() && !(allAtOnce() && backingOff > 0);
  }

  /** Returns whether no attempt is running, waiting or in back-off. */
  boolean finished() {
    return running == 0 && backingOff == 0 && waiting.isEmpty();
  }

  /** Adds waiting attempts; an attempt replaces an earlier one of the same task. */
  void addWaiting(Collection<TaskId> attempts) {
    for (TaskId attempt : attempts) {
      waiting.put(attempt.index(), attempt);
    }
  }

  /** Removes the waiting attempt of a task, if any. */
  void removeWaiting(int index) {
    waiting.remove(index);
  }

  /** Returns whether the job avoids a worker because an attempt failed on it. */
  boolean avoidsWorker(String workerId) {
    return avoidanceDelays < MAX_AVOIDANCE_DELAYS && failedWorkers.contains(workerId);
  }

  /** Allows the next attempt to start on any worker. */
  void stopAvoiding() {
    avoidanceDelays = MAX_AVOIDANCE_DELAYS;
  }

  /** Returns whether the job avoids any worker on which an attempt failed. */
  boolean avoidsAnyWorker() {
    return avoidanceDelays < MAX_AVOIDANCE_DELAYS && !failedWorkers.isEmpty();
  }

  void countFailure(int index) {
    failures.merge(index, 1, Integer::sum);
  }

  /** Returns the number of failed attempts of a task. */
  int failures(int index) {
    return failures.getOrDefault(index, 0);
  }

  /** Marks the job as dropped and discards its waiting attempts, in constant time. */
  void drop() {
    dropped = true;
    waiting = new LinkedHashMap<>();
  }
}
