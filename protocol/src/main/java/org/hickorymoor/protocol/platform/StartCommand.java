package org.hickorymoor.protocol.platform;

import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Request to a worker to start a task under a lease.
 *
 * @param taskId id of the task
 * @param labels labels to store and list with the task
 * @param demand declared resource demand
 * @param payload what to run; opaque to the scheduler
 * @param checkpoint token to resume the task from, or null
 * @param leaseMs duration of the lease, counted from the start of the task
 * @param notAfterMs worker clock after which the command has no effect; 0 for no deadline
 */
public record StartCommand(
    String taskId,
    Map<String, String> labels,
    Resources demand,
    String payload,
    @Nullable String checkpoint,
    long leaseMs,
    long notAfterMs) {
  /** Copies the labels. */
  public StartCommand {
    labels = Map.copyOf(labels);
  }
}
