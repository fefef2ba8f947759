package org.hickorymoor.domain.workload;

import org.jspecify.annotations.Nullable;

/**
 * How the jobs of one queue are treated, as configured when the job was accepted.
 *
 * @param queue name of the queue
 * @param service name of the pool of workers that run its tasks
 * @param priority 0 goes first
 * @param maxAttempts failed runs of a task after which its job has failed
 * @param stretch how much longer than its longest chain of work a job may take
 * @param targetLatencyMs time that a job may take besides
 * @param advice approvals that its tasks need, or null for none
 */
public record QueuePolicy(
    String queue,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetLatencyMs,
    @Nullable AdvicePolicy advice) {

  /** Checks the ranges. */
  public QueuePolicy {
    maxAttempts = Math.max(1, maxAttempts);
  }

  /**
   * Returns the time within which a job should be complete.
   *
   * @param spec the job
   * @return milliseconds from its submission
   */
  public long objectiveMs(WorkloadSpec spec) {
    return Math.round(stretch * spec.longestChainMs()) + targetLatencyMs;
  }
}
