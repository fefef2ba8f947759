package org.hickorymoor.domain.workload;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What is free on a worker, counted from the runs that may be there. Not safe for use by several
 * threads.
 */
public final class WorkerRoom {

  /** Weight of the newest run in the learned slowness; smooths over about five runs. */
  private static final double SLOWNESS_WEIGHT = 0.2;

  /** Failed runs in a row after which a worker gets no more work for a while. */
  private static final int SICK_AFTER_FAILURES = 4;

  /** A worker twice as slow is worse than one that is empty instead of full. */
  private static final double SLOWNESS_COST = 1;

  /** Far from its data a task takes a multiple of its time. */
  private static final double FAR_COST = 4;

  /** Work beside what serves users has to be slowed down. */
  private static final double DISTURB_COST = 3;

  /** A task that failed on a worker goes elsewhere if anything else has room. */
  private static final double FAILED_COST = 8;

  private record RunKey(TaskId task, int run) {}

  private final Map<RunKey, StepSpec> reserved = new HashMap<>();
  private final Map<String, Integer> tasksByStep = new HashMap<>();
  private WorkerFacts facts;
  private int usedCpuMillis;
  private int usedMemoryMb;
  private int usedAccelerators;
  private int fillers;
  private int serving;
  private int failuresInRow;
  private double slowness = 1;

  /**
   * Makes an empty worker.
   *
   * @param facts what the worker says of itself
   */
  public WorkerRoom(WorkerFacts facts) {
    this.facts = facts;
  }

  /** Returns what the worker says of itself. */
  public WorkerFacts facts() {
    return facts;
  }

  /** Takes over what the worker says now. */
  public void update(WorkerFacts newer) {
    facts = newer;
  }

  /** Reserves room for a run; nothing changes if it is reserved already. */
  public void reserve(TaskId task, int run, StepSpec spec) {
    if (reserved.put(new RunKey(task, run), spec) == null) {
      count(task, spec, 1);
    }
  }

  /** Frees the room of a run; nothing changes if none is reserved. */
  public void release(TaskId task, int run) {
    StepSpec spec = reserved.remove(new RunKey(task, run));
    if (spec != null) {
      count(task, spec, -1);
    }
  }

  private void count(TaskId task, StepSpec spec, int sign) {
    usedCpuMillis += sign * spec.reservedCpuMillis();
    usedMemoryMb += sign * spec.memoryMb();
    usedAccelerators += sign * spec.accelerators();
    fillers += spec.filler() ? sign : 0;
    serving += spec.targetMs() > 0 ? sign : 0;
    tasksByStep.merge(task.stepName(), sign, Integer::sum);
    tasksByStep.remove(task.stepName(), 0);
  }

  /** Returns the processor capacity that is not reserved, in thousandths of a core. */
  public int freeCpuMillis() {
    return facts.cpuMillis() - usedCpuMillis;
  }

  /** Returns the memory that is not reserved. */
  public int freeMemoryMb() {
    return facts.memoryMb() - usedMemoryMb;
  }

  /** Returns the number of runs that may be there. */
  public int runs() {
    return reserved.size();
  }

  /** Returns the number of runs that take only unused processor time. */
  public int fillers() {
    return fillers;
  }

  /** Returns the number of runs that serve users under a target. */
  public int serving() {
    return serving;
  }

  /** Returns how slow the worker is against the callers' estimates; 1 until something ran. */
  public double slowness() {
    return slowness;
  }

  /** Returns whether the last runs there all failed. */
  public boolean isSick() {
    return failuresInRow >= SICK_AFTER_FAILURES;
  }

  /** Learns from a run that failed. */
  public void learnFailure() {
    failuresInRow++;
  }

  /** Forgets past failures, so that the worker is tried again. */
  public void forgetFailures() {
    failuresInRow = 0;
  }

  /**
   * Learns from a run that succeeded.
   *
   * @param tookMs how long it ran
   * @param estimatedMs what the caller estimated
   */
  public void learnSuccess(long tookMs, long estimatedMs) {
    failuresInRow = 0;
    if (estimatedMs > 0 && tookMs > 0) {
      double ratio = Math.min(10, (double) tookMs / estimatedMs);
      slowness += SLOWNESS_WEIGHT * (ratio - slowness);
    }
  }

  /**
   * Tells whether a task fits.
   *
   * @param slot the task
   * @param keepFreeCpuMillis processor capacity that must stay free
   */
  public boolean fits(TaskSlot slot, int keepFreeCpuMillis) {
    StepSpec spec = slot.spec();
    String label = spec.requiredLabel();
    return freeCpuMillis() - keepFreeCpuMillis >= spec.reservedCpuMillis()
        && freeMemoryMb() >= spec.memoryMb()
        && facts.accelerators() - usedAccelerators >= spec.accelerators()
        && (label == null || facts.labels().contains(label))
        && (spec.maxPerWorker() == 0
            || tasksByStep.getOrDefault(slot.id().stepName(), 0) < spec.maxPerWorker());
  }

  /**
   * Rates the worker for a task; the lowest is the best.
   *
   * @param slot a task that fits
   * @param gangRack rack of the other members of its gang, or null
   */
  public double cost(TaskSlot slot, @Nullable String gangRack) {
    StepSpec spec = slot.spec();
    double cost = (double) freeCpuMillis() / Math.max(1, facts.cpuMillis());
    cost += SLOWNESS_COST * slowness;
    if (spec.dataRack() != null && !spec.dataRack().equals(facts.rack())) {
      cost += FAR_COST;
    }
    if (gangRack != null && !gangRack.equals(facts.rack())) {
      cost += FAR_COST;
    }
    if ((spec.filler() && serving > 0) || (spec.targetMs() > 0 && fillers > 0)) {
      cost += DISTURB_COST;
    }
    if (slot.hasFailedOn(facts.id())) {
      cost += FAILED_COST;
    }
    return cost;
  }
}
