package org.hickorymoor.domain.runtime;

/**
 * What is known of a run before it starts.
 *
 * @param queue name of the job's queue
 * @param image name of the program
 * @param jobId ID of the job
 * @param stepIndex index of the step within the job
 * @param estimatedMs run time as estimated by the caller; 0 if unknown
 */
public record RunDescriptor(
    String queue, String image, String jobId, int stepIndex, long estimatedMs) {

  /** Returns whether the caller gave an estimate. */
  public boolean hasEstimate() {
    return estimatedMs > 0;
  }
}
