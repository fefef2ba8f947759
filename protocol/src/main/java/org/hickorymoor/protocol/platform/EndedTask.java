package org.hickorymoor.protocol.platform;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A task that has ended on a worker and waits to be acknowledged.
 *
 * @param taskId name of the task
 * @param labels as given at the start, or null where not asked for
 * @param outcome how it ended
 * @param exitCode exit code, 0 for success
 * @param output whole result
 * @param ranMs how long it ran
 */
public record EndedTask(
    String taskId,
    @Nullable Map<String, String> labels,
    EndOutcome outcome,
    int exitCode,
    String output,
    long ranMs) {}
