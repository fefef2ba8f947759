package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.Resources;

/**
 * Logarithmic bucket of demands of similar size, so that jobs that do not fit are skipped together.
 *
 * @param slots the bucket of the slots
 * @param connections the bucket of the connections
 * @param cpu the bucket of the processor time
 * @param memory the bucket of the memory
 * @param accelerators the bucket of the accelerators
 * @param allAtOnceTasks the bucket of the task count of an all-at-once job; 0 for other jobs
 */
record DemandBucket(
    int slots, int connections, int cpu, int memory, int accelerators, int allAtOnceTasks) {

  private static final int MAX_EXACT_AMOUNT = 8;
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
    if (amount <= MAX_EXACT_AMOUNT) {
      return amount;
    }
    double doublings = Math.log((double) amount / MAX_EXACT_AMOUNT) / Math.log(2);
    return MAX_EXACT_AMOUNT + 1 + (int) (doublings * BUCKETS_PER_DOUBLING);
  }
}
