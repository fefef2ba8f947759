package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.Resources;

/**
 * Groups needs of about the same size, so that jobs that don't fit are passed over together.
 *
 * @param slots bucket of the slots
 * @param connections bucket of the connections
 * @param cpu bucket of the processor time
 * @param memory bucket of the memory
 * @param accelerators bucket of the accelerators
 * @param together bucket of the number of tasks that start together; 0 for one by one
 */
record DemandBucket(
    int slots, int connections, int cpu, int memory, int accelerators, int together) {

  private static final int EXACT_UP_TO = 8;
  private static final int BUCKETS_PER_DOUBLING = 2;

  static DemandBucket of(QueuedJob job) {
    Resources demand = job.demand();
    return new DemandBucket(
        bucket(demand.slots()),
        bucket(demand.connections()),
        bucket(demand.cpuMillis()),
        bucket(demand.memoryMb()),
        bucket(demand.accelerators()),
        job.allAtOnce() ? bucket(job.spec.taskCount()) : 0);
  }

  private static int bucket(int amount) {
    if (amount <= EXACT_UP_TO) {
      return amount;
    }
    double doublings = Math.log((double) amount / EXACT_UP_TO) / Math.log(2);
    return EXACT_UP_TO + 1 + (int) (doublings * BUCKETS_PER_DOUBLING);
  }
}
