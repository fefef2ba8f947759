package org.hickorymoor.domain.workload;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides whether the workers that crashed in a row under a task show that the task is the cause.
 *
 * <p>While workers also crash with no run that may be the cause, crashes under a task may be a
 * coincidence, so that more evidence is required. Not thread-safe.
 */
public final class CrashTolerance {

  /** Confirmed crashes in a row after which a task may be given up. */
  public static final int MIN_CRASHES = 2;

  /** Required weight of the evidence if fewer crashes are confirmed. */
  public static final int UNCONFIRMED_WEIGHT = 4;

  /** Required weight of the evidence while many workers crash by themselves. */
  public static final int MAX_WEIGHT = 4;

  private static final long WINDOW_NS = 20_000_000_000L;

  private final Deque<Long> unexplainedNs = new ArrayDeque<>();

  /**
   * Records a worker that crashed while it was starting nothing.
   *
   * @param nowNs current time, on a monotonic clock
   */
  public void recordUnexplainedCrash(long nowNs) {
    unexplainedNs.addLast(nowNs);
    if (unexplainedNs.size() > MAX_WEIGHT - MIN_CRASHES) {
      unexplainedNs.removeFirst();
    }
  }

  /**
   * Returns the weight of evidence, with enough confirmed crashes, that shows that a task is the
   * cause.
   *
   * @param nowNs current time, on the same clock
   */
  public int requiredWeight(long nowNs) {
    unexplainedNs.removeIf(atNs -> nowNs - atNs > WINDOW_NS);
    return MIN_CRASHES + unexplainedNs.size();
  }

  boolean isExhausted(TaskProgress task, long nowNs) {
    int required =
        task.confirmedCrashes() >= MIN_CRASHES ? requiredWeight(nowNs) : UNCONFIRMED_WEIGHT;
    return task.crashWeight() >= required;
  }
}
