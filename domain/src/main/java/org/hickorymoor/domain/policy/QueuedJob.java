package org.hickorymoor.domain.policy;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.TaskId;

/** A job that the scheduler knows, with the attempts of it that wait. */
final class QueuedJob {

  final String jobId;
  final JobSpec spec;
  final WorkKey workKey;
  final ArrayDeque<TaskId> waiting = new ArrayDeque<>();

  /** Workers on which an attempt failed. */
  final Set<String> failedWorkers = new HashSet<>();

  /** Order of arrival; lower came first. */
  long sequence;

  /** Time since which its oldest waiting attempt waits. */
  long waitingSinceMs;

  /** Time until which attempts freed for it by preemption are awaited. */
  long preemptionUntilMs;

  /** Time before which it gets no reservation again. */
  long noReservationUntilMs;

  /** Attempts that wait for the end of their back-off. */
  int backingOff;

  /** Attempts that count as in use on a worker. */
  int running;

  /** Attempts that failed so far. */
  int failures;

  /** True once it is cancelled or given up: nothing of it starts any more. */
  boolean dropped;

  QueuedJob(String jobId, JobSpec spec) {
    this.jobId = jobId;
    this.spec = spec;
    this.workKey = new WorkKey(spec.request().team(), spec.name());
  }

  String team() {
    return workKey.team();
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

  /** Tells whether its waiting attempts may start: those of an all-at-once job go together. */
  boolean ready() {
    return !waiting.isEmpty() && !(allAtOnce() && backingOff > 0);
  }

  /** Tells whether no attempt of it runs or ever will. */
  boolean over() {
    return running == 0 && backingOff == 0 && waiting.isEmpty();
  }

  /** Adds attempts, each index at most once: a later attempt takes the place of an earlier one. */
  void addWaiting(Collection<TaskId> attempts) {
    for (TaskId attempt : attempts) {
      removeWaiting(attempt.index());
      waiting.add(attempt);
    }
  }

  /** Removes the waiting attempt at a task, if there is one. */
  boolean removeWaiting(int index) {
    return waiting.removeIf(attempt -> attempt.index() == index);
  }
}
