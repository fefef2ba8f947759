package org.hickorymoor.domain;

/**
 * Amounts of the resources that a worker provides or a task demands.
 *
 * <pre>{@code
 * Resources demand = new Resources(1, 1, 500, 256, 0);
 * Resources free = capacity.minus(used);
 * boolean fits = demand.fitsIn(free);
 * }</pre>
 *
 * <p>Instances are immutable and thread-safe. Amounts may be negative as the result of {@link
 * #minus}; a demand read from a record never is.
 *
 * @param slots the number of task slots
 * @param connections the number of open connections
 * @param cpuMillis the processor time in thousandths of a core
 * @param memoryMb the memory in mebibytes
 * @param accelerators the number of whole accelerators
 */
public record Resources(int slots, int connections, int cpuMillis, int memoryMb, int accelerators) {

  /** Zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0, 0, 0);

  /**
   * Returns the sum of these and other resources.
   *
   * @param other the resources to add
   * @return the sum per resource
   */
  public Resources plus(Resources other) {
    return new Resources(
        slots + other.slots,
        connections + other.connections,
        cpuMillis + other.cpuMillis,
        memoryMb + other.memoryMb,
        accelerators + other.accelerators);
  }

  /**
   * Returns the difference of these and other resources.
   *
   * @param other the resources to subtract
   * @return the difference per resource; negative where {@code other} is larger
   */
  public Resources minus(Resources other) {
    return new Resources(
        slots - other.slots,
        connections - other.connections,
        cpuMillis - other.cpuMillis,
        memoryMb - other.memoryMb,
        accelerators - other.accelerators);
  }

  /**
   * Returns whether these resources fit in the available ones.
   *
   * @param available the available resources
   * @return true if no resource exceeds {@code available}
   */
  public boolean fitsIn(Resources available) {
    return slots <= available.slots
        && connections <= available.connections
        && cpuMillis <= available.cpuMillis
        && memoryMb <= available.memoryMb
        && accelerators <= available.accelerators;
  }
}
