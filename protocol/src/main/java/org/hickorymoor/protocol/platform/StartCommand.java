package org.hickorymoor.protocol.platform;

import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Asks a worker to start a task under a lease.
 *
 * @param taskId name of the task
 * @param labels kept with the task and listed with it
 * @param demand declared demand
 * @param payload what to run, opaque to the scheduler
 * @param checkpoint token to resume from, or null
 * @param leaseMs length of the lease from the start of the task
 * @param notAfterMs worker time after which the command has no effect; 0 for no limit
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
