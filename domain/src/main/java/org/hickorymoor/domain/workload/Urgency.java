package org.hickorymoor.domain.workload;

import java.util.Comparator;
import java.util.List;

/**
 * How soon a step has to start, against others that wait for the same room.
 *
 * <p>Under overload the earliest deadline alone would give all room to jobs that are late anyway,
 * and make every later job late too. So within a priority, jobs that can still be on time go before
 * those that can't, and jobs whose results have lost their use go after all others.
 *
 * @param chance what the job can still achieve
 * @param priority priority of its queue; 0 goes first
 * @param deadlineMs Unix time of the next deadline that the job can meet
 */
public record Urgency(Chance chance, int priority, long deadlineMs) implements Comparable<Urgency> {

  /** What a job can still achieve. */
  public enum Chance {
    /** It can be complete within its objective. */
    ON_TIME,
    /** It will be late, but its results are still of use. */
    LATE,
    /** Its results will come too late to be of use. */
    TOO_LATE
  }

  /** Results are of use up to this multiple of the objective; from the platform's rules. */
  private static final int USEFUL_OBJECTIVES = 3;

  private static final Comparator<Urgency> ORDER =
      Comparator.<Urgency>comparingInt(urgency -> urgency.chance() == Chance.TOO_LATE ? 1 : 0)
          .thenComparingInt(Urgency::priority)
          .thenComparing(Urgency::chance)
          .thenComparingLong(Urgency::deadlineMs);

  /**
   * Rates a step that could start now.
   *
   * @param submission its job
   * @param step the step
   * @param nowMs Unix time
   * @return its urgency
   */
  public static Urgency of(Submission submission, StepProgress step, long nowMs) {
    QueuePolicy policy = submission.policy();
    WorkloadSpec spec = submission.spec();
    int occurrence = step.slots().get(0).id().occurrence();
    long beganMs = spec.repetitions() == 0 ? submission.acceptedAtMs() : spec.dueMs(occurrence);
    long objectiveMs = policy.objectiveMs(spec);
    long dueMs = beganMs + objectiveMs;
    long uselessMs = beganMs + USEFUL_OBJECTIVES * objectiveMs;
    long endMs = nowMs + remainingMs(spec.steps(), step.number());
    if (step.spec().longRunning() || endMs <= dueMs) {
      return new Urgency(Chance.ON_TIME, policy.priority(), dueMs);
    }
    Chance chance = endMs <= uselessMs ? Chance.LATE : Chance.TOO_LATE;
    return new Urgency(chance, policy.priority(), uselessMs);
  }

  /** Returns the length of the longest chain of dependent steps that begins with a step. */
  private static long remainingMs(List<StepSpec> steps, int first) {
    long[] endMs = new long[steps.size()];
    endMs[first] = steps.get(first).estimatedMs();
    long longestMs = endMs[first];
    for (int number = first + 1; number < endMs.length; number++) {
      for (int earlier : steps.get(number).after()) {
        if (endMs[earlier] > 0) {
          endMs[number] = Math.max(endMs[number], endMs[earlier] + steps.get(number).estimatedMs());
        }
      }
      longestMs = Math.max(longestMs, endMs[number]);
    }
    return longestMs;
  }

  @Override
  public int compareTo(Urgency other) {
    return ORDER.compare(this, other);
  }
}
