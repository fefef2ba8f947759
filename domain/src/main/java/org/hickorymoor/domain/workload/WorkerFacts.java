package org.hickorymoor.domain.workload;

import java.util.Set;

/**
 * What a worker says of itself.
 *
 * @param id name of the worker
 * @param address ip:port for calls
 * @param service pool that it belongs to
 * @param domain failure domain
 * @param rack rack, or an empty text
 * @param labels its labels, the rack included
 * @param cpuMillis processor capacity in thousandths of a core
 * @param memoryMb memory capacity
 * @param accelerators number of accelerators
 * @param draining whether it is about to leave
 */
public record WorkerFacts(
    String id,
    String address,
    String service,
    String domain,
    String rack,
    Set<String> labels,
    int cpuMillis,
    int memoryMb,
    int accelerators,
    boolean draining) {

  /** Copies the labels. */
  public WorkerFacts {
    labels = Set.copyOf(labels);
  }
}
