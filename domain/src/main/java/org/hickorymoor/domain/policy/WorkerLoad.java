package org.hickorymoor.domain.policy;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.TaskId;
import org.jspecify.annotations.Nullable;

/** A worker with its allocated attempts and its used and free capacity. */
final class WorkerLoad {

  private static final long MAX_REPORT_AGE_MS = 10_000;

  final String workerId;
  final Map<TaskId, RunningAttempt> attempts = new LinkedHashMap<>();
  final CapacityEstimator capacityEstimator;
  final WorkerHealth health = new WorkerHealth();

  /** Reservation that the worker belongs to, or null. */
  @Nullable Reservation reservation;

  /** Part of the resources of preempted attempts that is promised to urgent jobs. */
  Resources promisedToUrgent = Resources.NONE;

  /** Sequence number of the last decision that started an attempt on this worker. */
  long lastStartDecision;

  /** Recently ended attempts, which delayed reports may still include; oldest first. */
  final ArrayDeque<RunningAttempt> recentEnds = new ArrayDeque<>();

  private WorkerProfile profile;
  private Resources used = Resources.NONE;
  private Resources effectiveUse = Resources.NONE;
  private Resources free = Resources.NONE;
  private Resources learnedFree = Resources.NONE;
  private boolean present;

  /** Creates a worker that is not present and has no declared capacity yet. */
  WorkerLoad(String workerId, double initialCapacityShare) {
    this.workerId = workerId;
    this.profile = new WorkerProfile(workerId, "", Resources.NONE, false);
    this.capacityEstimator = new CapacityEstimator(initialCapacityShare);
  }

  void update(WorkerProfile newProfile) {
    profile = newProfile;
    present = true;
    updateFree();
  }

  void markLost() {
    present = false;
  }

  WorkerProfile profile() {
    return profile;
  }

  boolean present() {
    return present;
  }

  /** Returns whether the worker is present and accepts new attempts. */
  boolean schedulable() {
    return present && !profile.leaving();
  }

  String rack() {
    return profile.rack();
  }

  Resources capacity() {
    return profile.capacity();
  }

  Resources learnedCapacity() {
    return capacityEstimator.learnedCapacity(profile.capacity());
  }

  Resources used() {
    return used;
  }

  /** Returns the declared capacity less the declared demand of the allocated attempts. */
  Resources free() {
    return free;
  }

  /** Returns the learned capacity less the observed or declared usage, whichever is larger. */
  Resources learnedFree() {
    return learnedFree;
  }

  /** Returns whether only services and attempts of the given job are left on the worker. */
  boolean drainedFor(QueuedJob job) {
    return attempts.values().stream()
        .noneMatch(other -> other.runsToCompletion() && other.job != job);
  }

  /** Returns the demand of the attempts that run to completion, which draining will free. */
  Resources releasableUse() {
    Resources sum = Resources.NONE;
    for (RunningAttempt attempt : attempts.values()) {
      if (attempt.runsToCompletion()) {
        sum = sum.plus(attempt.job.demand());
      }
    }
    return sum;
  }

  /**
   * Returns whether an attempt fits. On an empty worker only the declared capacity counts, because
   * too low an estimate could otherwise keep a large attempt from ever starting.
   */
  boolean hasRoom(Resources declared, Resources expected) {
    return declared.fitsIn(free) && (attempts.isEmpty() || expected.fitsIn(learnedFree));
  }

  void add(RunningAttempt attempt) {
    attempts.put(attempt.task, attempt);
    used = used.plus(attempt.job.demand());
    effectiveUse = effectiveUse.plus(attempt.effectiveDemand);
    capacityEstimator.attemptStarted(attempt);
    updateFree();
  }

  void remove(RunningAttempt attempt) {
    attempts.remove(attempt.task);
    used = used.minus(attempt.job.demand());
    effectiveUse = effectiveUse.minus(attempt.effectiveDemand);
    capacityEstimator.attemptEnded(attempt);
    updateFree();
  }

  /** Records an ended attempt for delayed reports that still include it. */
  void recordEnd(RunningAttempt attempt, long nowMs) {
    attempt.endedMs = nowMs;
    recentEnds.add(attempt);
    while (recentEnds.getFirst().endedMs < nowMs - MAX_REPORT_AGE_MS) {
      recentEnds.removeFirst();
    }
  }

  /** Sets the allowed speed of a running attempt. */
  void throttle(RunningAttempt attempt, int percent) {
    effectiveUse = effectiveUse.minus(attempt.effectiveDemand);
    capacityEstimator.setSpeed(attempt, percent);
    attempt.everThrottled = true;
    attempt.effectiveDemand = attempt.demandAtSpeed(percent);
    effectiveUse = effectiveUse.plus(attempt.effectiveDemand);
    updateFree();
  }

  /** Recomputes the free capacity, after the usage or the learned capacity changed. */
  void updateFree() {
    free = profile.capacity().minus(used);
    learnedFree =
        learnedCapacity().minus(ResourceMath.max(effectiveUse, capacityEstimator.observedUse()));
  }
}
