package org.hickorymoor.domain.workload;

import org.jspecify.annotations.Nullable;

/**
 * Scheduling policy of a queue, as configured when a job was accepted.
 *
 * @param queue name of the queue
 * @param service name of the worker pool that runs the tasks
 * @param priority scheduling priority; 0 is the highest
 * @param maxAttempts number of failed runs of one task after which the job fails
 * @param stretch factor by which the duration of a job may exceed its critical path
 * @param targetLatencyMs constant allowance added to the scaled critical path
 * @param approval policy for approvals that the tasks need, or null if they need none
 */
public record QueuePolicy(
    String queue,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetLatencyMs,
    @Nullable ApprovalPolicy approval) {

  /** Allows at least one attempt. */
  public QueuePolicy {
    maxAttempts = Math.max(1, maxAttempts);
  }

  /**
   * Returns the completion time objective of a job.
   *
   * @param criticalPathMs length of the job's critical path
   * @return milliseconds after the job was accepted, or after the scheduled start of an occurrence
   */
  public long objectiveMs(long criticalPathMs) {
    return Math.round(stretch * criticalPathMs) + targetLatencyMs;
  }
}
