package org.hickorymoor.domain.workload;

/**
 * Identifies a task.
 *
 * @param jobId ID of the job
 * @param occurrence index of the scheduled run of the job; 0 for a job that is not scheduled
 * @param step index of the step within the job
 * @param index index of the task within the step
 */
public record TaskId(String jobId, int occurrence, int step, int index) {

  /** Returns the name of the step, as {@code job.occurrence.step}. */
  public String stepName() {
    return jobId + "." + occurrence + "." + step;
  }

  @Override
  public String toString() {
    return stepName() + "." + index;
  }
}
