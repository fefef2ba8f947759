package org.hickorymoor.domain.policy;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.TaskId;
import org.jspecify.annotations.Nullable;

/** A worker and the attempts that count as in use on it. */
final class WorkerLoad {

  private static final long MAX_REPORT_AGE_MS = 10_000;

  final String workerId;
  final Map<TaskId, RunningAttempt> attempts = new LinkedHashMap<>();
  final CapacityEstimator capacityEstimator;
  final WorkerHealth health = new WorkerHealth();

  /** Reservation that it is held for, or null. */
  @Nullable Reservation reservation;

  /** What was promised to urgent jobs out of the room of preempted attempts. */
  Resources promisedToUrgent = Resources.NONE;

  /** Number of the decision in which an attempt last started here. */
  long lastStartDecision;

  /** Attempts that ended lately, which late reports still count; oldest first. */
  final ArrayDeque<RunningAttempt> recentEnds = new ArrayDeque<>();

  private WorkerProfile profile;
  private Resources used = Resources.NONE;
  private Resources effectiveUse = Resources.NONE;
  private Resources free = Resources.NONE;
  private Resources learnedFree = Resources.NONE;
  private boolean present;

  /** Creates a worker of which nothing is declared yet. */
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

  /** Tells whether new attempts may start on it at all. */
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

  /** Returns the declared capacity that is not in use. */
  Resources free() {
    return free;
  }

  /** Returns the learned capacity that is not in use. */
  Resources learnedFree() {
    return learnedFree;
  }

  /** Tells whether nothing is left on it but what runs for good and the job's own attempts. */
  boolean drainedFor(QueuedJob job) {
    return attempts.values().stream()
        .noneMatch(other -> other.runsToCompletion() && other.job != job);
  }

  /** Returns what the attempts that end by themselves count for. */
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
   * Tells whether there is room. A single attempt may have all that is declared, so that learning
   * never keeps a large one away for good.
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

  /** Remembers an ended attempt for the reports that still count it. */
  void recordEnd(RunningAttempt attempt, long nowMs) {
    attempt.endedMs = nowMs;
    recentEnds.add(attempt);
    while (recentEnds.getFirst().endedMs < nowMs - MAX_REPORT_AGE_MS) {
      recentEnds.removeFirst();
    }
  }

  /** Changes the speed that a running attempt is allowed. */
  void throttle(RunningAttempt attempt, int percent) {
    effectiveUse = effectiveUse.minus(attempt.effectiveDemand);
    capacityEstimator.speedChanged(attempt, percent);
    attempt.everThrottled = true;
    attempt.effectiveDemand = attempt.demandAtSpeed(percent);
    effectiveUse = effectiveUse.plus(attempt.effectiveDemand);
    updateFree();
  }

  /** Works out anew what is free, after the learned capacity changed. */
  void updateFree() {
    free = profile.capacity().minus(used);
    learnedFree =
        learnedCapacity().minus(ResourceMath.max(effectiveUse, capacityEstimator.observedUse()));
  }
}
