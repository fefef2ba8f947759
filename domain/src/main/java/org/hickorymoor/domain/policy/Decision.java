package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.job.TaskId;

/** An action requested by the scheduler. */
public sealed interface Decision {

  /**
   * Starts a task. The scheduler allocates its demand from the decision on.
   *
   * @param task the attempt to start
   * @param workerId the worker to start it on
   */
  record Start(TaskId task, String workerId) implements Decision {}

  /**
   * Throttles a running task, or restores its full speed.
   *
   * @param task the attempt
   * @param workerId the worker it runs on
   * @param percent the new speed, in percent of full speed
   */
  record Throttle(TaskId task, String workerId, int percent) implements Decision {}

  /**
   * Stops a running task, which is queued again when its end is reported.
   *
   * @param task the attempt
   * @param workerId the worker it runs on
   * @param checkpointFirst whether to checkpoint the task before stopping it
   */
  record Preempt(TaskId task, String workerId, boolean checkpointFirst) implements Decision {}

  /**
   * Gives up a job that cannot be completed.
   *
   * @param jobId the job
   * @param reason the reason for giving up
   */
  record GiveUp(String jobId, org.hickorymoor.domain.job.Reason reason) implements Decision {}
}
