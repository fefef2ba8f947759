package org.hickorymoor.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * One entry host at one point.
 *
 * @param axis what the series varies
 * @param value the value on the axis
 * @param point size and load
 * @param coordinator whether the host coordinated its domain
 * @param cost what it cost
 * @param takeoverMs time from the coordinator's death until another held every worker; 0 if it was
 *     not killed
 * @param states how many submissions ended in each state
 * @param waits waiting times in ms by class
 */
record LoadRow(
    LoadPoint.Axis axis,
    int value,
    LoadPoint point,
    boolean coordinator,
    DaemonCost cost,
    long takeoverMs,
    Map<String, Long> states,
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

  private static final List<String> WAIT_CLASSES = List.of("urgent", "normal", "batch");
  private static final Histogram NO_WAITS = new Histogram(1);
  private static final double MEDIAN = 50;
  private static final double TAIL = 99;

  static List<String> header() {
    List<String> names = new ArrayList<>(List.of("axis", "value", "role"));
    names.addAll(List.of("workers", "daemons", "listedElsewhere", "startsPerSecond"));
    names.addAll(List.of("tasksPerJob", "running", "teams", "configsPerMinute"));
    names.addAll(COST_COLUMNS);
    names.addAll(List.of("takeoverMs", "states"));
    for (String name : WAIT_CLASSES) {
      names.addAll(List.of(name + "Jobs", name + "P50Ms", name + "P99Ms", name + "MaxMs"));
    }
    return names;
  }

  /** Returns the costs in the order of the columns. */
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

  LoadRow withTakeoverMs(long measuredMs) {
    return new LoadRow(axis, value, point, coordinator, cost, measuredMs, states, waits);
  }

  String role() {
    return coordinator ? "coordinator" : "other";
  }

  List<Object> values() {
    List<Object> values = new ArrayList<>(List.of(axis.text(), value, role()));
    values.addAll(List.of(point.workers(), point.daemons(), point.listedElsewhere()));
    values.addAll(List.of(point.startsPerSecond(), point.tasksPerJob(), point.running()));
    values.addAll(List.of(point.teams(), point.configsPerMinute()));
    for (double number : costs()) {
      values.add(String.format(Locale.ROOT, "%.2f", number));
    }
    values.addAll(List.of(takeoverMs, states));
    for (String name : WAIT_CLASSES) {
      addWait(values, waits.getOrDefault(name, NO_WAITS));
    }
    return values;
  }

  private static void addWait(List<Object> values, Histogram wait) {
    values.add(wait.getTotalCount());
    values.add(wait.getValueAtPercentile(MEDIAN));
    values.add(wait.getValueAtPercentile(TAIL));
    values.add(wait.getMaxValue());
  }
}
