package org.hickorymoor.domain.workload;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One step of a job: a number of like tasks that become ready together.
 *
 * @param count number of tasks
 * @param cpuMillis processor request of a task, in thousandths of a core
 * @param memoryMb memory request of a task
 * @param accelerators accelerators of a task
 * @param estimatedMs rough run time of a task, as stated by the caller
 * @param after numbers of earlier steps whose tasks must all have succeeded first
 * @param checkpointing whether tasks save checkpoints that a later run can resume from
 * @param gang whether the tasks work only while all of them run
 * @param sameRack whether the tasks are slow unless they share a rack
 * @param requiredLabel label that the worker must carry, or null for any worker
 * @param dataRack rack that holds the input, or null for none
 * @param maxPerWorker most tasks of the step on one worker; 0 for no limit
 * @param duplicable whether a task may run more than once at a time
 * @param longRunning whether tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetMs upper bound for the tail of the response times that the tasks serve; 0 for none
 * @param filler whether the tasks take only the processor time that others leave unused
 * @param maxUnavailable most tasks of a long-running step that planned work may have down at once;
 *     0 for no limit
 */
public record StepSpec(
    int count,
    int cpuMillis,
    int memoryMb,
    int accelerators,
    long estimatedMs,
    List<Integer> after,
    boolean checkpointing,
    boolean gang,
    boolean sameRack,
    @Nullable String requiredLabel,
    @Nullable String dataRack,
    int maxPerWorker,
    boolean duplicable,
    boolean longRunning,
    String image,
    long targetMs,
    boolean filler,
    int maxUnavailable) {

  /** Checks the ranges and copies the list. */
  public StepSpec {
    if (count < 1) {
      throw new IllegalArgumentException("count must be at least 1, got " + count);
    }
    if (cpuMillis < 0 || memoryMb < 0 || accelerators < 0) {
      throw new IllegalArgumentException("requests of a task must not be negative");
    }
    after = List.copyOf(after);
  }

  /** Returns the processor time that a task takes from the capacity of its worker. */
  public int reservedCpuMillis() {
    return filler ? 0 : cpuMillis;
  }
}
