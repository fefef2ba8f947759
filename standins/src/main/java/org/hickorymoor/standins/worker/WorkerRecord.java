package org.hickorymoor.standins.worker;

import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.EndOutcome;

/**
 * What a worker stand-in saw since it was made, for tests.
 *
 * <p>Fields named {@code hostMs} are readings of the machine's monotonic clock: they can be
 * compared between workers of one machine, in one process or several.
 *
 * <p>Nothing is ever left out, so the memory that a record takes grows with each run.
 *
 * @param overloads starts that took the sum of demands above the capacity
 * @param doubleRuns starts of a task that ran already
 * @param starts every start that took effect
 * @param ended every task that ended, in the order of the ends
 * @param lapsed number of tasks whose lease passed
 * @param expired number of commands that came after their time
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

  /** Copies the collections. */
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
   * @param atMs worker time
   * @param hostMs machine time
   */
  public record Overload(String taskId, String what, long atMs, long hostMs) {}

  /**
   * A start of a task of which the same or another attempt ran already.
   *
   * @param taskId the task started
   * @param runningTaskId the task that ran already
   * @param atMs worker time
   * @param hostMs machine time
   */
  public record DoubleRun(String taskId, String runningTaskId, long atMs, long hostMs) {}

  /**
   * A start that took effect.
   *
   * @param runNumber number of the run on this worker, from 1
   * @param taskId the task
   * @param startedMs worker time
   * @param hostMs machine time
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
   * @param endedMs worker time
   * @param hostMs machine time
   */
  public record End(long runNumber, String taskId, EndOutcome outcome, long endedMs, long hostMs) {}
}
