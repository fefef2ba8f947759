package org.hickorymoor.domain.workload;

import java.util.Comparator;
import java.util.List;

/**
 * Order in which steps that compete for the same workers are started; the smallest goes first.
 *
 * <p>Under overload, earliest deadline first would spend all capacity on jobs that are late already
 * and make every later job late as well. Therefore, within a priority, jobs that can still meet
 * their objective go before jobs that cannot. Jobs whose results would no longer be useful go last,
 * regardless of their priority.
 *
 * @param timeliness which deadline the job can still meet
 * @param priority priority of the job's queue; 0 is the highest
 * @param shareRank 0 if the job's customer is within its share of the workers, higher if it isn't
 * @param deadlineMs Unix time of the next deadline that the job can meet
 */
public record Urgency(Timeliness timeliness, int priority, int shareRank, long deadlineMs)
    implements Comparable<Urgency> {

  /** Which deadline a job can still meet. */
  public enum Timeliness {
    /** The job can complete within its objective. */
    ON_TIME,
    /** The job will miss its objective, but its results will still be useful. */
    LATE,
    /** The results will arrive too late to be useful. */
    TOO_LATE
  }

  /** Multiple of the objective up to which the platform considers results useful. */
  private static final int MAX_USEFUL_OBJECTIVES = 3;

  private static final Comparator<Urgency> ORDER =
      Comparator.<Urgency>comparingInt(
              urgency -> urgency.timeliness() == Timeliness.TOO_LATE ? 1 : 0)
          .thenComparingInt(Urgency::priority)
          .thenComparingInt(Urgency::shareRank)
          .thenComparing(Urgency::timeliness)
          .thenComparingLong(Urgency::deadlineMs);

  /** Creates an urgency for a customer within its share. */
  public Urgency(Timeliness timeliness, int priority, long deadlineMs) {
    this(timeliness, priority, 0, deadlineMs);
  }

  /**
   * Returns the urgency of a step, assuming that it starts now.
   *
   * @param submission the job of the step
   * @param step the step
   * @param nowMs Unix time
   * @param runTimes expected run times of the job's tasks
   * @param shareRank rank of the job's customer
   * @return the urgency of the step
   */
  public static Urgency of(
      Submission submission, StepProgress step, long nowMs, RunTimes runTimes, int shareRank) {
    QueuePolicy policy = submission.policy();
    WorkloadSpec spec = submission.spec();
    int occurrence = step.tasks().get(0).id().occurrence();
    long startMs = spec.repetitions() == 0 ? submission.acceptedAtMs() : spec.dueMs(occurrence);
    long objectiveMs =
        policy.objectiveMs(spec.criticalPathMs(index -> runTimes.expectedMs(submission, index)));
    long dueMs = startMs + objectiveMs;
    long usefulUntilMs = startMs + MAX_USEFUL_OBJECTIVES * objectiveMs;
    long endMs = nowMs + remainingCriticalPathMs(submission, step.index(), runTimes);
    if (step.spec().longRunning() || endMs <= dueMs) {
      return new Urgency(Timeliness.ON_TIME, policy.priority(), shareRank, dueMs);
    }
    Timeliness timeliness = endMs <= usefulUntilMs ? Timeliness.LATE : Timeliness.TOO_LATE;
    return new Urgency(timeliness, policy.priority(), shareRank, usefulUntilMs);
  }

  /** Returns the length of the longest chain of dependent steps that starts with the given step. */
  private static long remainingCriticalPathMs(Submission submission, int first, RunTimes runTimes) {
    List<StepSpec> steps = submission.spec().steps();
    long[] endMs = new long[steps.size()];
    endMs[first] = runTimes.expectedMs(submission, first);
    long longestMs = endMs[first];
    for (int index = first + 1; index < endMs.length; index++) {
      for (int dependency : steps.get(index).dependencies()) {
        if (endMs[dependency] > 0) {
          endMs[index] =
              Math.max(endMs[index], endMs[dependency] + runTimes.expectedMs(submission, index));
        }
      }
      longestMs = Math.max(longestMs, endMs[index]);
    }
    return longestMs;
  }

  @Override
  public int compareTo(Urgency other) {
    return ORDER.compare(this, other);
  }
}
