package org.hickorymoor.daemon.shard;

import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;

/** Limits the tasks that may run at a time, apart from the capacity of the workers. */
@FunctionalInterface
interface StartLimit {

  /** Permits every start. */
  StartLimit UNLIMITED = (submission, step, wanted) -> wanted;

  /**
   * Returns how many tasks of a step may be placed now.
   *
   * @param submission the job
   * @param step the step
   * @param wanted number of tasks that are to be placed
   * @return a number from 0 to {@code wanted}
   */
  int permittedStarts(Submission submission, StepSpec step, int wanted);
}
