package org.hickorymoor.protocol.platform;

import java.util.List;
import java.util.Map;

/**
 * Request to a worker to renew leases, acknowledge results and list running and ended tasks.
 *
 * @param renew duration of the new lease in milliseconds, by task id
 * @param ack ids of ended tasks that the worker may discard
 * @param seen ids of ended tasks that do not end the wait early
 * @param waitMs maximum time for which the worker may delay its response
 * @param withLabels whether to include labels in the response
 * @param notAfterMs worker clock after which the command has no effect; 0 for no deadline
 */
public record SyncCommand(
    Map<String, Long> renew,
    List<String> ack,
    List<String> seen,
    long waitMs,
    boolean withLabels,
    long notAfterMs) {
  /** Copies the collections. */
  public SyncCommand {
    renew = Map.copyOf(renew);
    ack = List.copyOf(ack);
    seen = List.copyOf(seen);
  }
}
