package org.hickorymoor.domain.workload;

import java.util.Set;

/**
 * Address, location and capacity of a worker, as published by the worker.
 *
 * @param id ID of the worker
 * @param address ip:port for calls
 * @param service pool that the worker belongs to
 * @param domain failure domain
 * @param rack rack; empty if unknown
 * @param labels all labels, including the rack
 * @param cpuMillis CPU capacity in thousandths of a core
 * @param memoryMb memory capacity
 * @param accelerators number of accelerators
 * @param draining whether the worker is being drained
 * @param remainingMs minimum time that a draining worker goes on running; negative if unknown
 */
public record WorkerDescriptor(
    String id,
    String address,
    String service,
    String domain,
    String rack,
    Set<String> labels,
    int cpuMillis,
    int memoryMb,
    int accelerators,
    boolean draining,
    long remainingMs) {

  /** Makes a defensive copy of the labels. */
  public WorkerDescriptor {
    labels = Set.copyOf(labels);
  }
}
