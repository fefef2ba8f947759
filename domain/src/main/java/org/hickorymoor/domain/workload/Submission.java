package org.hickorymoor.domain.workload;

import org.hickorymoor.domain.customer.CustomerPolicy;
import org.jspecify.annotations.Nullable;

/**
 * A job as it was accepted.
 *
 * @param jobId ID chosen by the caller
 * @param acceptedAtMs Unix time on the host that accepted the job
 * @param policy policy of the job's queue when the job was accepted
 * @param spec what to run
 * @param customer the customer that submitted the job, as configured then; null if the queue
 *     accepts jobs without an API key
 */
public record Submission(
    String jobId,
    long acceptedAtMs,
    QueuePolicy policy,
    WorkloadSpec spec,
    @Nullable CustomerPolicy customer) {

  /** Creates a job without a customer. */
  public Submission(String jobId, long acceptedAtMs, QueuePolicy policy, WorkloadSpec spec) {
    this(jobId, acceptedAtMs, policy, spec, null);
  }
}
