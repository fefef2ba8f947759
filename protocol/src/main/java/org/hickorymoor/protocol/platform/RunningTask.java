package org.hickorymoor.protocol.platform;

import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * A task that is running on a worker.
 *
 * @param taskId id of the task
 * @param labels labels from the start command, or null if not requested
 * @param demand resource demand from the start command
 * @param startedMs worker clock when the task started
 * @param leaseUntilMs worker clock at which the lease expires
 * @param throttlePercent percentage of full speed; 100 if not throttled
 * @param usage resource usage of the task, which may be out of date
 */
public record RunningTask(
    String taskId,
    @Nullable Map<String, String> labels,
    Resources demand,
    long startedMs,
    long leaseUntilMs,
    int throttlePercent,
    Usage usage) {}
