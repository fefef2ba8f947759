package org.hickorymoor.domain.workload;

/**
 * Names a task.
 *
 * @param jobId its job
 * @param occurrence number of the scheduled run of the job; 0 for a job that is not scheduled
 * @param step number of the step
 * @param index number of the task within the step
 */
public record TaskId(String jobId, int occurrence, int step, int index) {

  /** Returns the step, as {@code job.occurrence.step}. */
  public String stepName() {
    return jobId + "." + occurrence + "." + step;
  }

  @Override
  public String toString() {
    return stepName() + "." + index;
  }
}
