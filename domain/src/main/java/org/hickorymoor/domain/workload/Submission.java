package org.hickorymoor.domain.workload;

/**
 * A job as it was accepted.
 *
 * @param jobId name that the caller gave it
 * @param acceptedAtMs Unix time at the host that took it
 * @param policy its queue at that time
 * @param spec what to run
 */
public record Submission(String jobId, long acceptedAtMs, QueuePolicy policy, WorkloadSpec spec) {}
