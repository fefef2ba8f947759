package org.hickorymoor.protocol.platform;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A task that has ended on a worker and has not been acknowledged yet.
 *
 * @param taskId id of the task
 * @param labels labels from the start command, or null if not requested
 * @param outcome how the task ended
 * @param exitCode exit code, 0 for success
 * @param output complete output of the task
 * @param ranMs run time of the task in milliseconds
 */
public record EndedTask(
    String taskId,
    @Nullable Map<String, String> labels,
    TaskOutcome outcome,
    int exitCode,
    String output,
    long ranMs) {}
