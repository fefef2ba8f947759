package org.hickorymoor.daemon.peer;

import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.Resources;

/**
 * State of one worker as known to its coordinator.
 *
 * @param workerId name of the worker
 * @param rack rack within the failure domain
 * @param address ip:port of its HTTP interface
 * @param state state of the worker, as human-readable text
 * @param declared declared capacity
 * @param learned capacity learned from reports and completions
 * @param inUse resources currently in use
 * @param tasks number of tasks running on it
 */
public record WorkerStatus(
    String workerId,
    String rack,
    String address,
    String state,
    Resources declared,
    Resources learned,
    Resources inUse,
    int tasks) {

  /** Rejects null components. */
  public WorkerStatus {
    requireNonNull(workerId, "workerId");
    requireNonNull(rack, "rack");
    requireNonNull(address, "address");
    requireNonNull(state, "state");
    requireNonNull(declared, "declared");
    requireNonNull(learned, "learned");
    requireNonNull(inUse, "inUse");
  }
}
