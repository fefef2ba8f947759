package org.hickorymoor.daemon.shard;

import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;

/**
 * Receives changes of the placements of tasks, also of those adopted from earlier coordinators, and
 * of the jobs that they belong to.
 */
interface TaskListener {

  /** A job is added; called before its tasks are placed. */
  default void onJobOpened(ScheduledJob job) {}

  /** A job is removed; none of its tasks is placed any more. */
  default void onJobClosed(ScheduledJob job) {}

  /** A task is placed: from now on, its latest run may be on a worker. */
  default void onTaskPlaced(ScheduledJob job, TaskProgress task) {}

  /** The latest run of a task is certainly not on a worker any more. */
  default void onTaskReleased(ScheduledJob job, TaskProgress task) {}

  /** A worker has accepted the start request of a run, or reports the run as running. */
  default void onRunStarted(ScheduledJob job, Placement placement) {}

  /** A run has ended as its worker reports; called before the task is released. */
  default void onRunEnded(ScheduledJob job, Placement placement, TerminationReason reason) {}

  /**
   * A run is lost; called before the task is released.
   *
   * @param silentMs how long the worker had not answered before; 0 if it has just answered
   */
  default void onRunLost(ScheduledJob job, Placement placement, long silentMs) {}
}
