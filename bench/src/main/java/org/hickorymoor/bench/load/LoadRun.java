package org.hickorymoor.bench.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Measures one point: starts a cell, warms it up under load, measures it and shuts it down. */
final class LoadRun {

  private static final long MS_PER_SECOND = 1_000;
  private static final long NS_PER_MS = 1_000_000;

  private final JsonHttpClient http = new JsonHttpClient();
  private final Path folder;
  private final int warmUpSeconds;
  private final int measureSeconds;
  private final boolean killCoordinator;

  LoadRun(Path folder, int warmUpSeconds, int measureSeconds, boolean killCoordinator) {
    this.folder = folder;
    this.warmUpSeconds = warmUpSeconds;
    this.measureSeconds = measureSeconds;
    this.killCoordinator = killCoordinator;
  }

  List<LoadRow> measure(LoadPoint.Axis axis, int value, LoadPoint point)
      throws IOException, LoadException, InterruptedException {
    try (LoadCell cell = new LoadCell(point, folder, http)) {
      cell.start();
      List<String> urls =
          cell.entryHosts().stream().map(entryHost -> LoadCell.url(entryHost, "")).toList();
      try (ConfigLoadGenerator configs = new ConfigLoadGenerator(http, urls.get(0))) {
        configs.start(point.configsPerMinute());
        return measure(axis, value, point, cell, new JobLoadGenerator(http, urls, point), configs);
      }
    }
  }

  private List<LoadRow> measure(
      LoadPoint.Axis axis,
      int value,
      LoadPoint point,
      LoadCell cell,
      JobLoadGenerator jobs,
      ConfigLoadGenerator configs)
      throws IOException, LoadException, InterruptedException {
    jobs.submitServices();
    submitAndSleep(jobs, warmUpSeconds);
    List<Snapshot> before = snapshots(cell);
    final long fromMs = before.get(0).atNs() / NS_PER_MS;
    submitAndSleep(jobs, measureSeconds);
    List<Snapshot> after = snapshots(cell);
    jobs.awaitResponses();
    Map<String, Long> firstStartsMs = cell.firstStartsMs();
    Map<String, Histogram> waits = jobs.waitsByClass(firstStartsMs, fromMs);
    List<LoadRow> rows = new ArrayList<>();
    for (int i = 0; i < cell.entryHosts().size(); i++) {
      LoadCell.EntryHost entryHost = cell.entryHosts().get(i);
      long heapKb = HeapReader.usedAfterGcKb(entryHost.process().pid());
      DaemonCost cost = DaemonCost.between(before.get(i), after.get(i), heapKb);
      Map<String, Long> countsByState = countsByState(jobs, configs, firstStartsMs.size());
      rows.add(
          new LoadRow(
              axis, value, point, cell.isCoordinator(entryHost), cost, 0, countsByState, waits));
    }
    if (!killCoordinator) {
      return rows;
    }
    long takeoverMs = cell.killCoordinator();
    return rows.stream().map(row -> row.withTakeoverMs(takeoverMs)).toList();
  }

  private static Map<String, Long> countsByState(
      JobLoadGenerator jobs, ConfigLoadGenerator configs, int jobsStarted) {
    Map<String, Long> countsByState = new HashMap<>(jobs.countsByState());
    countsByState.put("jobs-started", (long) jobsStarted);
    countsByState.put("configs-accepted", (long) configs.accepted());
    countsByState.put("configs-failed", (long) configs.failed());
    return countsByState;
  }

  private static void submitAndSleep(JobLoadGenerator jobs, int seconds)
      throws InterruptedException {
    long endMs = System.nanoTime() / NS_PER_MS + seconds * MS_PER_SECOND;
    jobs.submitFor(seconds);
    Thread.sleep(Math.max(0, endMs - System.nanoTime() / NS_PER_MS));
  }

  private List<Snapshot> snapshots(LoadCell cell) throws IOException, LoadException {
    List<Snapshot> snapshots = new ArrayList<>();
    for (LoadCell.EntryHost entryHost : cell.entryHosts()) {
      snapshots.add(Snapshot.of(cell, entryHost, http));
    }
    return snapshots;
  }
}
