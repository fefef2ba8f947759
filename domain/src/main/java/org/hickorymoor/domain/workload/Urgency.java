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
 * @param deadlineMs Unix time of the next deadline that the job can meet
 */
public record Urgency(Timeliness timeliness, int priority, long deadlineMs)
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
          .thenComparing(Urgency::timeliness)
          .thenComparingLong(Urgency::deadlineMs);

  /**
   * Returns the urgency of a step, assuming that it starts now.
   *
   * @param submission the job of the step
   * @param step the step
   * @param nowMs Unix time
   * @return the urgency of the step
   */
  public static Urgency of(Submission submission, StepProgress step, long nowMs) {
    QueuePolicy policy = submission.policy();
    WorkloadSpec spec = submission.spec();
    int occurrence = step.tasks().get(0).id().occurrence();
    long startMs = spec.repetitions() == 0 ? submission.acceptedAtMs() : spec.dueMs(occurrence);
    long objectiveMs = policy.objectiveMs(spec);
    long dueMs = startMs + objectiveMs;
    long usefulUntilMs = startMs + MAX_USEFUL_OBJECTIVES * objectiveMs;
    long endMs = nowMs + remainingCriticalPathMs(spec.steps(), step.index());
    if (step.spec().longRunning() || endMs <= dueMs) {
      return new Urgency(Timeliness.ON_TIME, policy.priority(), dueMs);
    }
    Timeliness timeliness = endMs <= usefulUntilMs ? Timeliness.LATE : Timeliness.TOO_LATE;
    return new Urgency(timeliness, policy.priority(), usefulUntilMs);
  }

  /** Returns the length of the longest chain of dependent steps that starts with the given step. */
  private static long remainingCriticalPathMs(List<StepSpec> steps, int first) {
    long[] endMs = new long[steps.size()];
    endMs[first] = steps.get(first).estimatedMs();
    long longestMs = endMs[first];
    for (int index = first + 1; index < endMs.length; index++) {
      for (int dependency : steps.get(index).dependencies()) {
        if (endMs[dependency] > 0) {
          endMs[index] = Math.max(endMs[index], endMs[dependency] + steps.get(index).estimatedMs());
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
