package org.hickorymoor.bench.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Measures one point: starts the domain, warms it up under the load, measures, and ends it. */
final class LoadRun {

  private static final long MS_PER_SECOND = 1_000;
  private static final long NS_PER_MS = 1_000_000;

  private final HttpCalls http = new HttpCalls();
  private final Path folder;
  private final int warmUpSeconds;
  private final int seconds;
  private final boolean killCoordinator;

  LoadRun(Path folder, int warmUpSeconds, int seconds, boolean killCoordinator) {
    this.folder = folder;
    this.warmUpSeconds = warmUpSeconds;
    this.seconds = seconds;
    this.killCoordinator = killCoordinator;
  }

  List<LoadRow> measure(LoadPoint.Axis axis, int value, LoadPoint point)
      throws IOException, LoadException, InterruptedException {
    try (LoadCell cell = new LoadCell(point, folder, http)) {
      cell.start();
      List<String> urls = cell.daemons().stream().map(daemon -> LoadCell.url(daemon, "")).toList();
      try (ConfigLoad configs = new ConfigLoad(http, urls.get(0))) {
        configs.start(point.configsPerMinute());
        return measure(axis, value, point, cell, new JobLoad(http, urls, point), configs);
      }
    }
  }

  private List<LoadRow> measure(
      LoadPoint.Axis axis,
      int value,
      LoadPoint point,
      LoadCell cell,
      JobLoad load,
      ConfigLoad configs)
      throws IOException, LoadException, InterruptedException {
    load.submitServices();
    submit(load, warmUpSeconds);
    List<Snapshot> before = snapshots(cell);
    final long fromMs = before.get(0).atNs() / NS_PER_MS;
    submit(load, seconds);
    List<Snapshot> after = snapshots(cell);
    load.awaitAnswers();
    Map<String, Long> firstStartsMs = cell.firstStartsMs();
    Map<String, Histogram> waits = load.waits(firstStartsMs, fromMs);
    List<LoadRow> rows = new ArrayList<>();
    for (int i = 0; i < cell.daemons().size(); i++) {
      LoadCell.EntryProcess daemon = cell.daemons().get(i);
      long heapKb = HeapReader.usedAfterCollectionKb(daemon.process().pid());
      DaemonCost cost = DaemonCost.between(before.get(i), after.get(i), heapKb);
      Map<String, Long> states = states(load, configs, firstStartsMs.size());
      rows.add(new LoadRow(axis, value, point, cell.coordinates(daemon), cost, 0, states, waits));
    }
    if (!killCoordinator) {
      return rows;
    }
    long takeoverMs = cell.killCoordinator();
    return rows.stream().map(row -> row.withTakeoverMs(takeoverMs)).toList();
  }

  private static Map<String, Long> states(JobLoad load, ConfigLoad configs, int jobsStarted) {
    Map<String, Long> states = new HashMap<>(load.states());
    states.put("jobs-started", (long) jobsStarted);
    states.put("configs-accepted", (long) configs.accepted());
    states.put("configs-failed", (long) configs.failed());
    return states;
  }

  private static void submit(JobLoad load, int seconds) throws InterruptedException {
    long endMs = System.nanoTime() / NS_PER_MS + seconds * MS_PER_SECOND;
    load.submitFor(seconds);
    Thread.sleep(Math.max(0, endMs - System.nanoTime() / NS_PER_MS));
  }

  private List<Snapshot> snapshots(LoadCell cell) throws IOException, LoadException {
    List<Snapshot> all = new ArrayList<>();
    for (LoadCell.EntryProcess daemon : cell.daemons()) {
      all.add(Snapshot.of(cell, daemon, http));
    }
    return all;
  }
}
