package org.hickorymoor.domain.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.TaskId;

/** A worker and the attempts that count as in use on it. */
final class WorkerLoad {

  final String workerId;
  final Map<TaskId, RunningAttempt> attempts = new LinkedHashMap<>();
  private WorkerProfile profile;
  private Resources used = Resources.NONE;
  private boolean present;

  /** Creates a worker of which nothing is declared yet. */
  WorkerLoad(String workerId) {
    this.workerId = workerId;
    this.profile = new WorkerProfile(workerId, "", Resources.NONE, false);
  }

  void seen(WorkerProfile newProfile) {
    profile = newProfile;
    present = true;
  }

  void lost() {
    present = false;
  }

  boolean present() {
    return present;
  }

  /** Tells whether new attempts may start on it at all. */
  boolean open() {
    return present && !profile.leaving();
  }

  String rack() {
    return profile.rack();
  }

  Resources capacity() {
    return profile.capacity();
  }

  Resources used() {
    return used;
  }

  Resources free() {
    return profile.capacity().minus(used);
  }

  void add(RunningAttempt attempt) {
    attempts.put(attempt.task, attempt);
    used = used.plus(attempt.counted);
  }

  void remove(RunningAttempt attempt) {
    attempts.remove(attempt.task);
    used = used.minus(attempt.counted);
  }

  /** Changes what a running attempt counts for. */
  void recount(RunningAttempt attempt, Resources counted) {
    used = used.minus(attempt.counted).plus(counted);
    attempt.counted = counted;
  }
}
