package org.hickorymoor.domain.workload;

/**
 * A job as it was accepted.
 *
 * @param jobId ID chosen by the caller
 * @param acceptedAtMs Unix time on the host that accepted the job
 * @param policy policy of the job's queue when the job was accepted
 * @param spec what to run
 */
public record Submission(String jobId, long acceptedAtMs, QueuePolicy policy, WorkloadSpec spec) {}
