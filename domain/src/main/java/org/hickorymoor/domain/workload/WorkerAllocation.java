package org.hickorymoor.domain.workload;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Capacity of a worker that is reserved and free, and the worker's recent failures and speed. Runs
 * count as long as they may still be on the worker. Not thread-safe.
 */
public final class WorkerAllocation {

  /** Weight of the latest run in the moving average, which spans about five runs. */
  private static final double SLOWDOWN_WEIGHT = 0.2;

  /** Number of consecutive failed runs after which a worker is paused. */
  private static final int UNHEALTHY_AFTER_FAILURES = 4;

  /**
   * Cost per unit of slowdown. Running twice as long as estimated costs as much as being empty
   * instead of full, because placement prefers full workers.
   */
  private static final double SLOWDOWN_COST = 1;

  /**
   * Cost of each doubling of the worker beyond what the task needs. Between workers of half and of
   * twice the size it outweighs being empty instead of half full, so that small tasks fill small
   * workers first, and stays far below {@link #REMOTE_RACK_COST}.
   */
  private static final double SIZE_COST_PER_DOUBLING = 0.35;

  /**
   * Doublings from which on a worker costs no more. Workers of very different sizes must not cost
   * more than a remote rack.
   */
  private static final double MAX_DOUBLINGS = 6;

  /** Run times multiply when a task is in another rack than its data or its gang. */
  private static final double REMOTE_RACK_COST = 4;

  /** Best-effort work is throttled on workers with latency-sensitive tasks. */
  private static final double INTERFERENCE_COST = 3;

  /** High enough that a task avoids workers on which it has failed if any other worker fits. */
  private static final double FAILED_COST = 8;

  /** A task that may crash its worker goes where the fewest runs would be lost with it. */
  private static final double CRASH_SUSPECT_COST_PER_RUN = 2;

  private record RunKey(TaskId task, int run) {}

  private final Map<RunKey, StepSpec> reserved = new HashMap<>();
  private final Map<String, Integer> tasksByStep = new HashMap<>();
  private WorkerDescriptor descriptor;
  private int usedCpuMillis;
  private int lastingCpuMillis;
  private int usedMemoryMb;
  private int usedAccelerators;
  private int bestEffortRuns;
  private int latencySensitiveRuns;
  private int consecutiveFailures;
  private double slowdown = 1;

  /**
   * Creates an allocation without reservations.
   *
   * @param descriptor the worker, as published
   */
  public WorkerAllocation(WorkerDescriptor descriptor) {
    this.descriptor = descriptor;
  }

  /** Returns the latest descriptor that the worker has published. */
  public WorkerDescriptor descriptor() {
    return descriptor;
  }

  /** Replaces the descriptor by a newer one; reservations remain. */
  public void update(WorkerDescriptor newer) {
    descriptor = newer;
  }

  /** Reserves capacity for a run; has no effect if it is reserved already. */
  public void reserve(TaskId task, int run, StepSpec spec) {
    if (reserved.put(new RunKey(task, run), spec) == null) {
      count(task, spec, 1);
    }
  }

  /** Releases the capacity of a run; has no effect if none is reserved. */
  public void release(TaskId task, int run) {
    StepSpec spec = reserved.remove(new RunKey(task, run));
    if (spec != null) {
      count(task, spec, -1);
    }
  }

  private void count(TaskId task, StepSpec spec, int sign) {
    usedCpuMillis += sign * spec.reservedCpuMillis();
    lastingCpuMillis += spec.longRunning() ? sign * spec.reservedCpuMillis() : 0;
    usedMemoryMb += sign * spec.memoryMb();
    usedAccelerators += sign * spec.accelerators();
    bestEffortRuns += spec.bestEffort() ? sign : 0;
    latencySensitiveRuns += spec.responseTimeTargetMs() > 0 ? sign : 0;
    tasksByStep.merge(task.stepName(), sign, Integer::sum);
    tasksByStep.remove(task.stepName(), 0);
  }

  /** Returns the unreserved CPU capacity, in thousandths of a core. */
  public int freeCpuMillis() {
    return descriptor.cpuMillis() - usedCpuMillis;
  }

  /** Returns the unreserved memory. */
  public int freeMemoryMb() {
    return descriptor.memoryMb() - usedMemoryMb;
  }

  /** Returns the number of unreserved accelerators. */
  public int freeAccelerators() {
    return descriptor.accelerators() - usedAccelerators;
  }

  /** Returns the CPU capacity that runs without an end have reserved, in thousandths of a core. */
  public int lastingCpuMillis() {
    return lastingCpuMillis;
  }

  /** Returns whether no run that will end has reserved CPU capacity. */
  public boolean isCpuReservedByLastingRunsOnly() {
    return usedCpuMillis == lastingCpuMillis;
  }

  /**
   * Returns the largest share of the worker's CPU capacity, memory and accelerators that a task
   * takes; above 1 if it does not fit even an empty worker.
   */
  public double dominantShare(StepSpec spec) {
    return Math.max(
        share(spec.reservedCpuMillis(), descriptor.cpuMillis()),
        Math.max(
            share(spec.memoryMb(), descriptor.memoryMb()),
            share(spec.accelerators(), descriptor.accelerators())));
  }

  private static double share(int requested, int capacity) {
    return requested == 0 ? 0 : capacity <= 0 ? Double.MAX_VALUE : (double) requested / capacity;
  }

  /** Returns whether a task would fit if nothing ran on the worker. */
  public boolean fitsEmpty(StepSpec spec) {
    String label = spec.requiredLabel();
    return dominantShare(spec) <= 1 && (label == null || descriptor.labels().contains(label));
  }

  /** Returns whether more is reserved than the worker holds, since its capacity has shrunk. */
  public boolean isOverCommitted() {
    return freeCpuMillis() < 0
        || freeMemoryMb() < 0
        || usedAccelerators > descriptor.accelerators();
  }

  /** Returns the number of runs that may be on the worker. */
  public int runs() {
    return reserved.size();
  }

  /** Returns the number of runs that use only spare CPU time. */
  public int bestEffortRuns() {
    return bestEffortRuns;
  }

  /** Returns the number of runs with a response time target. */
  public int latencySensitiveRuns() {
    return latencySensitiveRuns;
  }

  /** Returns the moving average of run time divided by estimate; 1 before the first run. */
  public double slowdown() {
    return slowdown;
  }

  /** Returns whether the latest runs on the worker have all failed. */
  public boolean isUnhealthy() {
    return consecutiveFailures >= UNHEALTHY_AFTER_FAILURES;
  }

  /** Records a failed run. */
  public void recordFailure() {
    consecutiveFailures++;
  }

  /** Resets the failure count, so that the worker can be used again. */
  public void resetFailures() {
    consecutiveFailures = 0;
  }

  /**
   * Records a successful run.
   *
   * @param runTimeMs actual run time
   * @param estimatedMs run time estimated by the caller; 0 if unknown
   */
  public void recordSuccess(long runTimeMs, long estimatedMs) {
    consecutiveFailures = 0;
    if (estimatedMs > 0 && runTimeMs > 0) {
      double ratio = Math.min(10, (double) runTimeMs / estimatedMs);
      slowdown += SLOWDOWN_WEIGHT * (ratio - slowdown);
    }
  }

  /**
   * Returns whether a task's label, resource requests and limit per worker allow it on this worker.
   *
   * @param task the task
   * @param keepFreeCpuMillis CPU capacity that must remain free, in thousandths of a core
   */
  public boolean fits(TaskProgress task, int keepFreeCpuMillis) {
    StepSpec spec = task.spec();
    String label = spec.requiredLabel();
    return freeCpuMillis() - keepFreeCpuMillis >= spec.reservedCpuMillis()
        && freeMemoryMb() >= spec.memoryMb()
        && descriptor.accelerators() - usedAccelerators >= spec.accelerators()
        && (label == null || descriptor.labels().contains(label))
        && (spec.maxPerWorker() == 0
            || tasksByStep.getOrDefault(task.id().stepName(), 0) < spec.maxPerWorker());
  }

  /**
   * Returns the placement cost of a task on this worker; the worker with the lowest cost is best.
   *
   * @param task a task that fits
   * @param gangRack rack of the other members of the task's gang, or null
   */
  public double cost(TaskProgress task, @Nullable String gangRack) {
    StepSpec spec = task.spec();
    double cost = freeCpuCost();
    cost += slowdownCost();
    cost += sizeCost(spec);
    cost += dataRackCost(spec);
    cost += gangRackCost(gangRack);
    cost += interferenceCost(spec);
    cost += failureCost(task);
    cost += crashSuspectCost(task);
    return cost;
  }

  /**
   * Returns the parts of {@link #cost} by name, in the order in which they are added.
   *
   * @param task a task that fits
   * @param gangRack rack of the other members of the task's gang, or null
   */
  public Map<String, Double> costParts(TaskProgress task, @Nullable String gangRack) {
    StepSpec spec = task.spec();
    Map<String, Double> parts = new LinkedHashMap<>();
    parts.put("free-cpu", freeCpuCost());
    parts.put("slowdown", slowdownCost());
    parts.put("size", sizeCost(spec));
    parts.put("data-rack", dataRackCost(spec));
    parts.put("gang-rack", gangRackCost(gangRack));
    parts.put("interference", interferenceCost(spec));
    parts.put("failed-before", failureCost(task));
    parts.put("crash-suspect", crashSuspectCost(task));
    return parts;
  }

  private double freeCpuCost() {
    return (double) freeCpuMillis() / Math.max(1, descriptor.cpuMillis());
  }

  private double slowdownCost() {
    return SLOWDOWN_COST * slowdown;
  }

  /**
   * Returns 0 for tasks that belong in one rack: the rack of the first member decides where the
   * others go, and a small worker says nothing about the room in its rack.
   */
  private double sizeCost(StepSpec spec) {
    return spec.sameRack() ? 0 : SIZE_COST_PER_DOUBLING * doublingsAbove(spec);
  }

  private double dataRackCost(StepSpec spec) {
    return spec.dataRack() != null && !spec.dataRack().equals(descriptor.rack())
        ? REMOTE_RACK_COST
        : 0;
  }

  private double gangRackCost(@Nullable String gangRack) {
    return gangRack != null && !gangRack.equals(descriptor.rack()) ? REMOTE_RACK_COST : 0;
  }

  private double interferenceCost(StepSpec spec) {
    return (spec.bestEffort() && latencySensitiveRuns > 0)
            || (spec.responseTimeTargetMs() > 0 && bestEffortRuns > 0)
        ? INTERFERENCE_COST
        : 0;
  }

  private double failureCost(TaskProgress task) {
    return task.hasFailedOn(descriptor.id()) ? FAILED_COST : 0;
  }

  private double crashSuspectCost(TaskProgress task) {
    return task.suspectedCrashes() > 0 ? CRASH_SUSPECT_COST_PER_RUN * runs() : 0;
  }

  /** Returns how often the worker's size would have to be halved to be just as large as a task. */
  private double doublingsAbove(StepSpec spec) {
    double share = dominantShare(spec);
    return share <= 0 ? MAX_DOUBLINGS : Math.min(MAX_DOUBLINGS, -Math.log(share) / Math.log(2));
  }
}
