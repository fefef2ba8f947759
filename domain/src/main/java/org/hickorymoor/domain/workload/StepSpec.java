package org.hickorymoor.domain.workload;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One step of a job: a number of identical tasks that become ready together.
 *
 * @param count number of tasks
 * @param cpuMillis CPU request of a task, in thousandths of a core
 * @param memoryMb memory request of a task
 * @param accelerators number of accelerators that a task requests
 * @param estimatedMs run time of a task as estimated by the caller
 * @param dependencies indexes of earlier steps whose tasks must all have succeeded first
 * @param checkpointing whether tasks save checkpoints that a later run can resume from
 * @param gang whether the tasks make progress only while all of them run
 * @param sameRack whether the tasks run slower when they are spread over several racks
 * @param requiredLabel label that the worker must have, or null for any worker
 * @param dataRack rack that holds the input data, or null if there is none
 * @param maxPerWorker maximum number of tasks of the step on one worker; 0 for no limit
 * @param allowsDuplicates whether several runs of a task may overlap
 * @param longRunning whether tasks run until the job is cancelled
 * @param image name of the program that the tasks run; tasks with the same image behave alike
 * @param responseTimeTargetMs upper bound for the tail latency of requests that the tasks serve; 0
 *     for none
 * @param bestEffort whether the tasks use only CPU time that other tasks leave unused
 * @param maxUnavailable maximum number of tasks of a long-running step that planned maintenance may
 *     take down at once; 0 for no limit
 */
public record StepSpec(
    int count,
    int cpuMillis,
    int memoryMb,
    int accelerators,
    long estimatedMs,
    List<Integer> dependencies,
    boolean checkpointing,
    boolean gang,
    boolean sameRack,
    @Nullable String requiredLabel,
    @Nullable String dataRack,
    int maxPerWorker,
    boolean allowsDuplicates,
    boolean longRunning,
    String image,
    long responseTimeTargetMs,
    boolean bestEffort,
    int maxUnavailable) {

  /** Validates the ranges and makes a defensive copy of the dependencies. */
  public StepSpec {
    if (count < 1) {
      throw new IllegalArgumentException("count must be at least 1, got " + count);
    }
    if (cpuMillis < 0 || memoryMb < 0 || accelerators < 0) {
      throw new IllegalArgumentException("resource requests of a task must not be negative");
    }
    dependencies = List.copyOf(dependencies);
  }

  /** Returns the CPU capacity that a task reserves on its worker, in thousandths of a core. */
  public int reservedCpuMillis() {
    return bestEffort ? 0 : cpuMillis;
  }
}
