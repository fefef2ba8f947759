package org.hickorymoor.standins.worker;

import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.TaskOutcome;

/**
 * Record of the starts, ends and violations on a worker stand-in since its construction, for tests.
 *
 * <p>Fields named {@code hostMs} are readings of the machine's monotonic clock, comparable between
 * workers on one machine, also across processes.
 *
 * <p>Entries are never evicted, so memory usage grows with each run.
 *
 * @param overloads starts that took the sum of demands above the capacity
 * @param doubleRuns starts of a task that was already running
 * @param starts every start that took effect
 * @param ended every ended task, in order of their ends
 * @param lapsed number of tasks whose lease expired
 * @param expired number of commands that arrived after their deadline
 * @param runs number of started tasks by job id
 */
public record WorkerRecord(
    List<Overload> overloads,
    List<DoubleRun> doubleRuns,
    List<Start> starts,
    List<End> ended,
    long lapsed,
    long expired,
    Map<String, Integer> runs) {

  /** Makes immutable copies of the collections. */
  public WorkerRecord {
    overloads = List.copyOf(overloads);
    doubleRuns = List.copyOf(doubleRuns);
    starts = List.copyOf(starts);
    ended = List.copyOf(ended);
    runs = Map.copyOf(runs);
  }

  /**
   * A start that took the sum of demands above the capacity.
   *
   * @param taskId the task started
   * @param what the resources exceeded, for example {@code "slots 9 of 8"}
   * @param atMs time on the clock of the worker
   * @param hostMs time on the clock of the machine
   */
  public record Overload(String taskId, String what, long atMs, long hostMs) {}

  /**
   * A start of a task of which the same or another attempt was already running.
   *
   * @param taskId the task started
   * @param runningTaskId the task that was already running
   * @param atMs time on the clock of the worker
   * @param hostMs time on the clock of the machine
   */
  public record DoubleRun(String taskId, String runningTaskId, long atMs, long hostMs) {}

  /**
   * A start that took effect.
   *
   * @param runNumber number of the run on this worker, from 1
   * @param taskId the task
   * @param startedMs time on the clock of the worker
   * @param hostMs time on the clock of the machine
   * @param demand declared demand
   */
  public record Start(
      long runNumber, String taskId, long startedMs, long hostMs, Resources demand) {}

  /**
   * A task that ended.
   *
   * @param runNumber number of the run on this worker, as in its start
   * @param taskId the task
   * @param outcome how it ended
   * @param endedMs time on the clock of the worker
   * @param hostMs time on the clock of the machine
   */
  public record End(
      long runNumber, String taskId, TaskOutcome outcome, long endedMs, long hostMs) {}
}
