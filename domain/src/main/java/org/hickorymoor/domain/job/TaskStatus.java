package org.hickorymoor.domain.job;

import org.jspecify.annotations.Nullable;

/**
 * Status of one task of a job.
 *
 * @param index index of the task within the job, from 0
 * @param state state of the task; {@link JobState#ACCEPTED} while it waits for its next attempt
 * @param workerId worker of the last attempt, or null if there was none
 * @param attempts number of attempts so far
 * @param exitCode exit code of the last ended attempt; 0 if none
 * @param output complete output of the last ended attempt; empty if none
 */
public record TaskStatus(
    int index,
    JobState state,
    @Nullable String workerId,
    int attempts,
    int exitCode,
    String output) {}
