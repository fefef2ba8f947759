package org.hickorymoor.protocol.platform;

import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * A task that runs on a worker.
 *
 * @param taskId name of the task
 * @param labels as given at the start, or null where not asked for
 * @param demand as given at the start
 * @param startedMs worker time of the start
 * @param leaseUntilMs worker time at which the lease passes
 * @param throttlePercent share of full speed, 100 for unthrottled
 * @param usage usage of the task, lagging
 */
public record RunningTask(
    String taskId,
    @Nullable Map<String, String> labels,
    Resources demand,
    long startedMs,
    long leaseUntilMs,
    int throttlePercent,
    Usage usage) {}
