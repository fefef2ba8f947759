package org.hickorymoor.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measurement of one entry host at one point.
 *
 * @param axis the parameter varied in the series
 * @param value the value of that parameter
 * @param point cell size and load
 * @param coordinator whether the host was the coordinator of its domain
 * @param cost resource usage of the host
 * @param takeoverMs time from the kill of the coordinator until another one owned every worker; 0
 *     if it was not killed
 * @param countsByState number of submissions by the job state in the response, and other counts
 * @param waits waiting times in ms, by job class
 */
record LoadRow(
    LoadPoint.Axis axis,
    int value,
    LoadPoint point,
    boolean coordinator,
    DaemonCost cost,
    long takeoverMs,
    Map<String, Long> countsByState,
    Map<String, Histogram> waits) {

  static final List<String> COST_COLUMNS =
      List.of(
          "cpuPercent",
          "residentKb",
          "threads",
          "heapKb",
          "workerBytesPerSecond",
          "logBytesPerSecond",
          "hostListBytesPerSecond",
          "peerBytesPerSecond",
          "statusBytesPerSecond",
          "statusMessagesPerSecond",
          "appendsPerSecond",
          "entriesPerSecond",
          "readsPerSecond");

  private static final List<String> JOB_CLASSES = List.of("urgent", "normal", "batch");
  private static final Histogram EMPTY_HISTOGRAM = new Histogram(1);
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double TAIL_PERCENTILE = 99;

  static List<String> header() {
    List<String> names = new ArrayList<>(List.of("axis", "value", "role"));
    names.addAll(List.of("workers", "daemons", "listedElsewhere", "startsPerSecond"));
    names.addAll(List.of("tasksPerJob", "running", "teams", "configsPerMinute"));
    names.addAll(COST_COLUMNS);
    names.addAll(List.of("takeoverMs", "states"));
    for (String name : JOB_CLASSES) {
      names.addAll(List.of(name + "Jobs", name + "P50Ms", name + "P99Ms", name + "MaxMs"));
    }
    return names;
  }

  /** Returns the costs in the order of {@link #COST_COLUMNS}. */
  double[] costs() {
    return new double[] {
      cost.cpuPercent(),
      cost.residentKb(),
      cost.threads(),
      cost.heapKb(),
      cost.workerBytesPerSecond(),
      cost.logBytesPerSecond(),
      cost.hostListBytesPerSecond(),
      cost.peerBytesPerSecond(),
      cost.statusBytesPerSecond(),
      cost.statusMessagesPerSecond(),
      cost.appendsPerSecond(),
      cost.entriesPerSecond(),
      cost.readsPerSecond()
    };
  }

  LoadRow withTakeoverMs(long newTakeoverMs) {
    return new LoadRow(axis, value, point, coordinator, cost, newTakeoverMs, countsByState, waits);
  }

  String role() {
    return coordinator ? "coordinator" : "other";
  }

  List<Object> values() {
    List<Object> values = new ArrayList<>(List.of(axis.label(), value, role()));
    values.addAll(List.of(point.workers(), point.daemons(), point.listedElsewhere()));
    values.addAll(List.of(point.startsPerSecond(), point.tasksPerJob(), point.running()));
    values.addAll(List.of(point.teams(), point.configsPerMinute()));
    for (double number : costs()) {
      values.add(String.format(Locale.ROOT, "%.2f", number));
    }
    values.addAll(List.of(takeoverMs, countsByState));
    for (String name : JOB_CLASSES) {
      addWaitStatistics(values, waits.getOrDefault(name, EMPTY_HISTOGRAM));
    }
    return values;
  }

  private static void addWaitStatistics(List<Object> values, Histogram wait) {
    values.add(wait.getTotalCount());
    values.add(wait.getValueAtPercentile(MEDIAN_PERCENTILE));
    values.add(wait.getValueAtPercentile(TAIL_PERCENTILE));
    values.add(wait.getMaxValue());
  }
}
