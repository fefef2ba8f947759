package org.hickorymoor.domain.policy;

import java.util.Collection;
import org.hickorymoor.domain.Resources;

/**
 * Estimates the actual capacity of one worker from delayed usage reports and task run times.
 *
 * <p>The learned capacity is a share of the declared one, controlled by additive increase and
 * multiplicative decrease: it grows in small steps while usage and run times are as expected, and
 * is cut by a factor when they are not. The expected usage of attempts that started after a report
 * was taken is added to the reported usage.
 */
final class CapacityEstimator {

  private static final double MIN_SHARE = 0.125;
  private static final double SHARE_INCREMENT = 0.05;
  private static final double OVERUSE_DECREASE_FACTOR = 0.5;
  private static final double SLOW_RUNS_DECREASE_FACTOR = 0.7;
  private static final double SLOW_RELATIVE_RUN_TIME = 1.5;
  private static final double MIN_SLOW_SHARE_TO_DECREASE = 0.4;
  private static final double MAX_SLOW_SHARE_TO_INCREASE = 0.25;
  private static final double SMOOTHING_FACTOR = 0.2;
  private static final long INCREASE_COOLDOWN_MS = 10_000;

  private double share;
  private double slowRunShare;
  private long increaseAllowedAtMs;
  private long reportedAtMs = Long.MIN_VALUE;
  private Resources reportedUse = Resources.NONE;
  private Resources startedSinceReport = Resources.NONE;

  CapacityEstimator(double initialShare) {
    share = Math.max(MIN_SHARE, initialShare);
  }

  /** Returns the learned share of the declared capacity; accelerators are never scaled. */
  Resources learnedCapacity(Resources declared) {
    return ResourceMath.scale(declared, share);
  }

  /** Returns the usage by the last report, adjusted for starts and ends since. */
  Resources observedUse() {
    return reportedUse.plus(startedSinceReport);
  }

  /** Returns the moving average of the share of slow attempts, from 0 to 1. */
  double slowRunShare() {
    return slowRunShare;
  }

  void attemptStarted(RunningAttempt attempt) {
    if (attempt.startedMs >= reportedAtMs) {
      startedSinceReport = startedSinceReport.plus(observable(attempt));
    }
  }

  void attemptEnded(RunningAttempt attempt) {
    Resources part = observable(attempt);
    if (attempt.startedMs >= reportedAtMs) {
      startedSinceReport = startedSinceReport.minus(part);
    } else {
      reportedUse = ResourceMath.max(Resources.NONE, reportedUse.minus(part));
    }
  }

  /** Sets the speed of a running attempt and adjusts its usage without waiting for a report. */
  void setSpeed(RunningAttempt attempt, int percent) {
    Resources before = observable(attempt);
    attempt.speedPercent = percent;
    Resources change = observable(attempt).minus(before);
    if (attempt.startedMs >= reportedAtMs) {
      startedSinceReport = startedSinceReport.plus(change);
    } else {
      reportedUse = ResourceMath.max(Resources.NONE, reportedUse.plus(change));
    }
  }

  /**
   * Updates the estimate from a usage report; drops a report that is older than the last one.
   *
   * @param report the report
   * @param limit the upper bound for normal usage
   * @param attempts the attempts running on the worker now
   * @param recentEnds the attempts that recently ended on it
   * @param tasksWaiting whether tasks are waiting for capacity
   * @param nowMs the current time
   * @return false if the report was dropped
   */
  boolean usageReported(
      UsageReport report,
      Resources limit,
      Collection<RunningAttempt> attempts,
      Collection<RunningAttempt> recentEnds,
      boolean tasksWaiting,
      long nowMs) {
    long atMs = nowMs - report.ageMs();
    if (atMs < reportedAtMs) {
      return false;
    }
    reportedAtMs = atMs;
    reportedUse = new Resources(0, report.connections(), report.cpuMillis(), report.memoryMb(), 0);
    startedSinceReport = Resources.NONE;
    boolean within = reportedUse.fitsIn(limit);
    if (!within && !reportedUse.fitsIn(expectedUse(attempts, recentEnds, atMs))) {
      decrease(OVERUSE_DECREASE_FACTOR, nowMs);
    } else if (within && tasksWaiting) {
      increase(nowMs);
    }
    attempts.forEach(this::attemptStarted);
    recentEnds.stream().filter(end -> wasRunningAt(end, atMs)).forEach(this::attemptEnded);
    return true;
  }

  /**
   * Updates the estimate from the run time of a successful attempt.
   *
   * @param relativeRunTime its run time relative to the upper quartile of the same workload
   * @param tasksWaiting whether tasks are waiting for capacity
   * @param nowMs the current time
   */
  void runCompleted(double relativeRunTime, boolean tasksWaiting, long nowMs) {
    double sample = relativeRunTime > SLOW_RELATIVE_RUN_TIME ? 1 : 0;
    slowRunShare += SMOOTHING_FACTOR * (sample - slowRunShare);
    if (slowRunShare > MIN_SLOW_SHARE_TO_DECREASE) {
      decrease(SLOW_RUNS_DECREASE_FACTOR, nowMs);
    } else if (tasksWaiting && slowRunShare <= MAX_SLOW_SHARE_TO_INCREASE) {
      increase(nowMs);
    }
  }

  /** Returns the total expected usage of the attempts that ran at the time of a report. */
  private static Resources expectedUse(
      Collection<RunningAttempt> attempts, Collection<RunningAttempt> recentEnds, long atMs) {
    Resources sum = Resources.NONE;
    for (RunningAttempt attempt : attempts) {
      sum = attempt.startedMs < atMs ? sum.plus(observable(attempt)) : sum;
    }
    for (RunningAttempt ended : recentEnds) {
      sum = wasRunningAt(ended, atMs) ? sum.plus(observable(ended)) : sum;
    }
    return sum;
  }

  /** Returns whether an ended attempt was still running at the given time. */
  static boolean wasRunningAt(RunningAttempt ended, long atMs) {
    return ended.startedMs < atMs && ended.endedMs >= atMs;
  }

  private void decrease(double factor, long nowMs) {
    share = Math.max(MIN_SHARE, share * factor);
    slowRunShare = 0;
    increaseAllowedAtMs = nowMs + INCREASE_COOLDOWN_MS;
  }

  private void increase(long nowMs) {
    if (nowMs >= increaseAllowedAtMs) {
      share = Math.min(1, share + SHARE_INCREMENT);
    }
  }

  /** Returns the expected contribution of an attempt to a report at its current speed. */
  private static Resources observable(RunningAttempt attempt) {
    Resources expected = attempt.expectedDemand;
    int cpuMillis = expected.cpuMillis() * attempt.speedPercent / RunningAttempt.FULL_SPEED_PERCENT;
    return new Resources(0, expected.connections(), cpuMillis, expected.memoryMb(), 0);
  }
}
