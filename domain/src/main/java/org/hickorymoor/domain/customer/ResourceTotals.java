package org.hickorymoor.domain.customer;

import org.hickorymoor.domain.workload.StepSpec;

/**
 * Amounts of resources summed over tasks or workers.
 *
 * <p>Sums are 64 bits wide: best-effort tasks reserve no processors on a worker, so their requests
 * are not bounded by the capacity of the workers.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb mebibytes of memory
 * @param accelerators whole accelerators
 */
public record ResourceTotals(long cpuMillis, long memoryMb, long accelerators) {

  /** Zero of each resource. */
  public static final ResourceTotals NONE = new ResourceTotals(0, 0, 0);

  /** Returns the full request of one task of a step. */
  public static ResourceTotals requestOf(StepSpec step) {
    return new ResourceTotals(step.cpuMillis(), step.memoryMb(), step.accelerators());
  }

  /** Returns what one task of a step reserves; best-effort tasks reserve no processors. */
  public static ResourceTotals reservationOf(StepSpec step) {
    return new ResourceTotals(step.reservedCpuMillis(), step.memoryMb(), step.accelerators());
  }

  /** Returns the sum of these and other amounts. */
  public ResourceTotals plus(ResourceTotals other) {
    return new ResourceTotals(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  /** Returns the difference of these and other amounts. */
  public ResourceTotals minus(ResourceTotals other) {
    return new ResourceTotals(
        cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  /** Returns the largest share of a resource of the capacity, from 0 to 1. */
  double dominantShareOf(ResourceTotals capacity) {
    double share =
        Math.max(
            share(cpuMillis, capacity.cpuMillis),
            Math.max(
                share(memoryMb, capacity.memoryMb), share(accelerators, capacity.accelerators)));
    return Math.min(1, share);
  }

  private static double share(long used, long capacity) {
    return capacity <= 0 ? 0 : (double) used / capacity;
  }
}
