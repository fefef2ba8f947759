package org.hickorymoor.domain.workload;

/** Expected run times of the tasks of a job. */
@FunctionalInterface
public interface RunTimes {

  /** The run times that callers estimate. */
  RunTimes DECLARED =
      (submission, stepIndex) -> submission.spec().steps().get(stepIndex).estimatedMs();

  /**
   * Returns the expected run time of a task on a typical worker.
   *
   * @param submission the job
   * @param stepIndex index of the step within the job
   * @return milliseconds
   */
  long expectedMs(Submission submission, int stepIndex);
}
