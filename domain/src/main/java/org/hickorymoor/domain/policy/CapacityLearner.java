package org.hickorymoor.domain.policy;

import java.util.Collection;
import org.hickorymoor.domain.Resources;

/**
 * Learns what one worker really holds from lagging reports and from how fast tasks finish.
 *
 * <p>The learned capacity is a share of the declared one. It rises in small steps while the worker
 * keeps up, and falls by a factor as soon as it does not. What started after the time of a report
 * counts on top of the report.
 */
final class CapacityLearner {

  private static final double MIN_SHARE = 0.125;
  private static final double RISE = 0.05;
  private static final double FALL_ON_OVERUSE = 0.5;
  private static final double FALL_ON_SLOW_DRAIN = 0.7;
  private static final double SLOW_RUN_TIME = 1.5;
  private static final double SLOW_SHARE_TO_FALL = 0.4;
  private static final double SLOW_SHARE_TO_RISE = 0.25;
  private static final double SMOOTHING = 0.2;
  private static final long NO_RISE_AFTER_FALL_MS = 10_000;

  private double share;
  private double slowShare;
  private long noRiseUntilMs;
  private long reportedAtMs = Long.MIN_VALUE;
  private Resources reported = Resources.NONE;
  private Resources startedSince = Resources.NONE;

  CapacityLearner(double initialShare) {
    share = Math.max(MIN_SHARE, initialShare);
  }

  /** Returns the learned part of the declared capacity; accelerators are never scaled. */
  Resources learned(Resources declared) {
    return Amounts.shareOf(declared, share);
  }

  /** Returns what is in use by the last report and the starts since. */
  Resources observed() {
    return reported.plus(startedSince);
  }

  /** Returns the share of the latest attempts that finished late, from 0 to 1. */
  double slowShare() {
    return slowShare;
  }

  void started(RunningAttempt attempt) {
    if (attempt.startedMs >= reportedAtMs) {
      startedSince = startedSince.plus(observable(attempt));
    }
  }

  void ended(RunningAttempt attempt) {
    Resources part = observable(attempt);
    if (attempt.startedMs >= reportedAtMs) {
      startedSince = startedSince.minus(part);
    } else {
      reported = Amounts.max(Resources.NONE, reported.minus(part));
    }
  }

  /** Changes the speed of a running attempt, which counts at once, before a report shows it. */
  void throttled(RunningAttempt attempt, int percent) {
    Resources before = observable(attempt);
    attempt.percent = percent;
    Resources change = observable(attempt).minus(before);
    if (attempt.startedMs >= reportedAtMs) {
      startedSince = startedSince.plus(change);
    } else {
      reported = Amounts.max(Resources.NONE, reported.plus(change));
    }
  }

  /**
   * Takes a report in; one that is older than the last is dropped.
   *
   * @param attempts what runs on the worker now
   * @param recentEnds what has ended on it lately
   * @param limit what the reported use has to stay within
   * @param wanted whether more work waits for this worker
   * @return false if the report was dropped
   */
  boolean reported(
      UsageReport report,
      Resources limit,
      Collection<RunningAttempt> attempts,
      Collection<RunningAttempt> recentEnds,
      boolean wanted,
      long nowMs) {
    long atMs = nowMs - report.ageMs();
    if (atMs < reportedAtMs) {
      return false;
    }
    reportedAtMs = atMs;
    reported = new Resources(0, report.connections(), report.cpuMillis(), report.memoryMb(), 0);
    startedSince = Resources.NONE;
    boolean within = reported.fitsIn(limit);
    if (!within && !reported.fitsIn(expected(attempts, recentEnds, atMs))) {
      fall(FALL_ON_OVERUSE, nowMs);
    } else if (within && wanted) {
      rise(nowMs);
    }
    attempts.forEach(this::started);
    recentEnds.stream().filter(end -> inReport(end, atMs)).forEach(this::ended);
    return true;
  }

  /**
   * Takes the run time of a finished attempt in.
   *
   * @param relativeRunTime its run time over what most attempts at the same work stay below
   * @param wanted whether more work waits for this worker
   */
  void completed(double relativeRunTime, boolean wanted, long nowMs) {
    double sample = relativeRunTime > SLOW_RUN_TIME ? 1 : 0;
    slowShare += SMOOTHING * (sample - slowShare);
    if (slowShare > SLOW_SHARE_TO_FALL) {
      fall(FALL_ON_SLOW_DRAIN, nowMs);
    } else if (wanted && slowShare <= SLOW_SHARE_TO_RISE) {
      rise(nowMs);
    }
  }

  /** Returns what the attempts at the time of a report were expected to use together. */
  private static Resources expected(
      Collection<RunningAttempt> attempts, Collection<RunningAttempt> recentEnds, long atMs) {
    Resources sum = Resources.NONE;
    for (RunningAttempt attempt : attempts) {
      sum = attempt.startedMs < atMs ? sum.plus(observable(attempt)) : sum;
    }
    for (RunningAttempt ended : recentEnds) {
      sum = inReport(ended, atMs) ? sum.plus(observable(ended)) : sum;
    }
    return sum;
  }

  /** Tells whether an attempt that has ended ran at the time of a report. */
  static boolean inReport(RunningAttempt ended, long atMs) {
    return ended.startedMs < atMs && ended.endedMs >= atMs;
  }

  private void fall(double factor, long nowMs) {
    share = Math.max(MIN_SHARE, share * factor);
    slowShare = 0;
    noRiseUntilMs = nowMs + NO_RISE_AFTER_FALL_MS;
  }

  private void rise(long nowMs) {
    if (nowMs >= noRiseUntilMs) {
      share = Math.min(1, share + RISE);
    }
  }

  /** Returns what an attempt is expected to add to a report at its present speed. */
  private static Resources observable(RunningAttempt attempt) {
    Resources expected = attempt.expected;
    int cpuMillis = expected.cpuMillis() * attempt.percent / RunningAttempt.FULL_SPEED_PERCENT;
    return new Resources(0, expected.connections(), cpuMillis, expected.memoryMb(), 0);
  }
}
