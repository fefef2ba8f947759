package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.job.TaskId;

/** Something that the scheduler wants done. */
public sealed interface Decision {

  /**
   * Starts a task. The scheduler counts it as in use from the decision on.
   *
   * @param task the attempt to start
   * @param workerId where
   */
  record Start(TaskId task, String workerId) implements Decision {}

  /**
   * Slows a running task down, or lets it run at full speed again.
   *
   * @param task the attempt
   * @param workerId where it runs
   * @param percent share of full speed
   */
  record Throttle(TaskId task, String workerId, int percent) implements Decision {}

  /**
   * Stops a running task, which goes back to the queue.
   *
   * @param task the attempt
   * @param workerId where it runs
   * @param checkpointFirst whether to checkpoint it first
   */
  record Preempt(TaskId task, String workerId, boolean checkpointFirst) implements Decision {}

  /**
   * Ends a job that can't go on.
   *
   * @param jobId the job
   * @param reason why, typed
   */
  record GiveUp(String jobId, org.hickorymoor.domain.job.Reason reason) implements Decision {}
}
