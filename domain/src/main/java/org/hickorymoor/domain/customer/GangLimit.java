package org.hickorymoor.domain.customer;

import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.jspecify.annotations.Nullable;

/** Finds gangs that can never start because their request exceeds the limit of their customer. */
public final class GangLimit {

  private GangLimit() {}

  /**
   * Returns whether a step is a gang of which the tasks together exceed the limit.
   *
   * <p>A gang of one task never does: a task larger than the limit may run alone.
   */
  public static boolean isExceededBy(StepSpec step, CustomerPolicy policy) {
    return step.gang()
        && step.count() > 1
        && new CustomerUsage().permittedStarts(policy, ResourceTotals.requestOf(step), step.count())
            < step.count();
  }

  /**
   * Returns why a job must be refused, or null if it can be accepted.
   *
   * @param submission the job, with its customer as configured at present
   */
  public static @Nullable String refusalReason(Submission submission) {
    CustomerPolicy policy = submission.customer();
    if (policy == null) {
      return null;
    }
    for (int index = 0; index < submission.spec().steps().size(); index++) {
      StepSpec step = submission.spec().steps().get(index);
      if (isExceededBy(step, policy)) {
        return String.format(
            "step %d: its %d tasks start together, each with %d thousandths of a core, %d MB and %d"
                + " accelerators; the limit of the customer is %d, %d and %d (0 is none), so they"
                + " can never start; submit fewer or smaller tasks",
            index,
            step.count(),
            step.cpuMillis(),
            step.memoryMb(),
            step.accelerators(),
            policy.limit().cpuMillis(),
            policy.limit().memoryMb(),
            policy.limit().accelerators());
      }
    }
    return null;
  }
}
