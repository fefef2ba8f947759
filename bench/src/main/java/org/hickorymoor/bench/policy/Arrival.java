package org.hickorymoor.bench.policy;

import org.hickorymoor.domain.job.JobSpec;

/**
 * A job submission in a replayed workload.
 *
 * @param atMs arrival time, in simulated time
 * @param jobId unique id of the job
 * @param spec the declared job specification
 * @param runMs actual run time of each task; {@link Long#MAX_VALUE} if the tasks never end
 * @param usageFactor actual divided by declared usage of CPU and memory
 */
record Arrival(long atMs, String jobId, JobSpec spec, long runMs, double usageFactor) {}
