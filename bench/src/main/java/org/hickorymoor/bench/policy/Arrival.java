package org.hickorymoor.bench.policy;

import org.hickorymoor.domain.job.JobSpec;

/**
 * A job that arrives in a replay.
 *
 * @param atMs when it arrives
 * @param jobId name of the job
 * @param spec what is declared of it
 * @param runMs true run time of each task
 * @param useFactor true use over declared use of processors and memory
 */
record Arrival(long atMs, String jobId, JobSpec spec, long runMs, double useFactor) {}
