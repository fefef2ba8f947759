package org.hickorymoor.domain.workload;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Decides how many workers in a row must crash under a task before the task counts as the cause.
 *
 * <p>While workers also crash without a run that may be the cause, two crashes under one task may
 * be a coincidence, so more are required. Not thread-safe.
 */
public final class CrashTolerance {

  /** Required crashes while no worker crashes by itself. */
  public static final int MIN_CRASHES = 2;

  /** Required crashes while many workers crash by themselves. */
  public static final int MAX_CRASHES = 4;

  private static final long WINDOW_MS = 20_000;

  private final Deque<Long> unexplainedNs = new ArrayDeque<>();

  /**
   * Records a worker that crashed while it was starting nothing.
   *
   * @param nowNs current time, on a monotonic clock
   */
  public void recordUnexplainedCrash(long nowNs) {
    unexplainedNs.addLast(nowNs);
    if (unexplainedNs.size() > MAX_CRASHES - MIN_CRASHES) {
      unexplainedNs.removeFirst();
    }
  }

  /**
   * Returns after how many confirmed crashes in a row a task is given up.
   *
   * @param nowNs current time, on the same clock
   */
  public int requiredCrashes(long nowNs) {
    unexplainedNs.removeIf(atNs -> nowNs - atNs > TimeUnit.MILLISECONDS.toNanos(WINDOW_MS));
    return MIN_CRASHES + unexplainedNs.size();
  }
}
