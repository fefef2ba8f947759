package org.hickorymoor.daemon.peer;

import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.Resources;

/**
 * What a coordinator knows of one worker.
 *
 * @param workerId name of the worker
 * @param rack rack within the failure domain
 * @param address ip:port of its HTTP interface
 * @param state what the coordinator makes of it, for people
 * @param declared declared capacity
 * @param learned capacity learned from reports and completions
 * @param inUse counted as in use at present
 * @param tasks number of tasks that run on it
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

  /** Rejects absent parts. */
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
