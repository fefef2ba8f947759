package org.hickorymoor.standins.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.Resources;

/**
 * Two runs of one task, of the same attempt or of different ones, that overlapped in time on the
 * same or different workers.
 *
 * <pre>{@code
 * assertThat(RunOverlap.among(List.of(first.record(), second.record()))).isEmpty();
 * }</pre>
 *
 * @param taskId id of the task started during the earlier run
 * @param runningTaskId id of the task of the earlier run
 * @param hostMs start time on the monotonic clock of the machine
 */
public record RunOverlap(String taskId, String runningTaskId, long hostMs) {

  private static final long STILL_RUNNING_MS = Long.MAX_VALUE;

  private record Interval(String taskId, long fromMs, long toMs) {}

  /**
   * Finds all overlaps between the runs recorded by workers of one machine.
   *
   * <p>Tasks without demand are ignored: they hold a lease and do no work.
   *
   * @param records records of different workers
   * @return one entry for each run that started before an earlier one had ended
   */
  public static List<RunOverlap> among(Collection<WorkerRecord> records) {
    Map<String, List<Interval>> runsByTask = new HashMap<>();
    for (WorkerRecord record : records) {
      collect(record, runsByTask);
    }
    List<RunOverlap> overlaps = new ArrayList<>();
    runsByTask.values().forEach(runs -> findOverlaps(runs, overlaps));
    return overlaps;
  }

  private static void collect(WorkerRecord record, Map<String, List<Interval>> runsByTask) {
    Map<Long, Long> endByRun = new HashMap<>();
    for (WorkerRecord.End end : record.ended()) {
      endByRun.put(end.runNumber(), end.hostMs());
    }
    for (WorkerRecord.Start start : record.starts()) {
      if (!start.demand().equals(Resources.NONE)) {
        long toMs = endByRun.getOrDefault(start.runNumber(), STILL_RUNNING_MS);
        runsByTask
            .computeIfAbsent(TaskIds.withoutAttempt(start.taskId()), key -> new ArrayList<>())
            .add(new Interval(start.taskId(), start.hostMs(), toMs));
      }
    }
  }

  private static void findOverlaps(List<Interval> runs, List<RunOverlap> overlaps) {
    runs.sort(Comparator.comparingLong(Interval::fromMs));
    Interval latest = runs.get(0);
    for (Interval run : runs.subList(1, runs.size())) {
      if (run.fromMs() < latest.toMs()) {
        overlaps.add(new RunOverlap(run.taskId(), latest.taskId(), run.fromMs()));
      }
      latest = run.toMs() > latest.toMs() ? run : latest;
    }
  }
}
