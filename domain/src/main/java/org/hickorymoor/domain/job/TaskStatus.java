package org.hickorymoor.domain.job;

import org.jspecify.annotations.Nullable;

/**
 * What is known of one task of a job.
 *
 * @param index number of the task within the job
 * @param state accepted (waiting), running, done, failed, not run or in doubt
 * @param workerId worker of the last attempt, or null if there was none
 * @param attempts number of attempts so far
 * @param exitCode exit code of the last ended attempt, 0 if none
 * @param output whole result of the last ended attempt, empty if none
 */
public record TaskStatus(
    int index,
    JobState state,
    @Nullable String workerId,
    int attempts,
    int exitCode,
    String output) {}
