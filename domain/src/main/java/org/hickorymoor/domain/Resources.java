package org.hickorymoor.domain;

/**
 * An amount of every resource that a worker holds or a task needs.
 *
 * <pre>{@code
 * Resources demand = new Resources(1, 1, 500, 256, 0);
 * Resources free = capacity.minus(used);
 * boolean fits = demand.fitsIn(free);
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads. Amounts may be negative, as the
 * result of {@link #minus}; a demand read from a record never is.
 *
 * @param slots number of task slots
 * @param connections number of connections held open
 * @param cpuMillis processor time in thousandths of a core
 * @param memoryMb memory in mebibytes
 * @param accelerators number of whole accelerators
 */
public record Resources(int slots, int connections, int cpuMillis, int memoryMb, int accelerators) {

  /** Nothing of any resource. */
  public static final Resources NONE = new Resources(0, 0, 0, 0, 0);

  /**
   * Returns the sum of this amount and another.
   *
   * @param other the amount to add
   * @return the sum, resource by resource
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
   * Returns this amount less another.
   *
   * @param other the amount to take away
   * @return the difference, resource by resource; negative where {@code other} is larger
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
   * Tells whether this amount is at most another in every resource.
   *
   * @param available the amount to compare with
   * @return true if nothing here exceeds {@code available}
   */
  public boolean fitsIn(Resources available) {
    return slots <= available.slots
        && connections <= available.connections
        && cpuMillis <= available.cpuMillis
        && memoryMb <= available.memoryMb
        && accelerators <= available.accelerators;
  }
}
