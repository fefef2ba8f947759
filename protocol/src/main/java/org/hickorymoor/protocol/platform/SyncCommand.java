package org.hickorymoor.protocol.platform;

import java.util.List;
import java.util.Map;

/**
 * Renews leases on a worker, acknowledges results and asks what runs and what ended.
 *
 * @param renew length of the new lease in ms by task id
 * @param ack ended tasks to forget
 * @param seen ended tasks that do not cut the wait short
 * @param waitMs longest time to hold back the answer
 * @param withLabels whether to list labels
 * @param notAfterMs worker time after which the command has no effect; 0 for no limit
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
