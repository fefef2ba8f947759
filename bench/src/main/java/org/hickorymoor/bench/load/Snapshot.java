package org.hickorymoor.bench.load;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Cumulative resource usage and traffic of an entry host at one moment.
 *
 * @param atNs time of the snapshot on the machine's monotonic clock
 * @param usage resource usage of its process
 * @param workerBytes mean bytes in both directions between a worker and the entry hosts
 * @param logBytes bytes in both directions between the host and the log
 * @param hostListBytes bytes in both directions between the host and the host list
 * @param peerBytes bytes in both directions between the host and other entry hosts
 * @param statusBytes the part of the peer bytes used by status messages
 * @param statusMessages status messages sent and received
 * @param appends append requests to the log
 * @param entries log entries in these append requests
 * @param reads read requests to the log
 */
record Snapshot(
    long atNs,
    ProcessUsage usage,
    long workerBytes,
    long logBytes,
    long hostListBytes,
    long peerBytes,
    long statusBytes,
    long statusMessages,
    long appends,
    long entries,
    long reads) {

  static Snapshot of(LoadCell cell, LoadCell.EntryHost entryHost, JsonHttpClient http)
      throws IOException, LoadException {
    JsonObject metrics = http.get(LoadCell.url(entryHost, "/metrics"));
    return new Snapshot(
        System.nanoTime(),
        ProcessUsage.of(entryHost.process().pid()),
        cell.meanBytesPerWorker(),
        LoadCell.totalBytes(entryHost.logProxy()),
        LoadCell.totalBytes(entryHost.hostsProxy()),
        sum(metrics, name -> isPeerTraffic(name) && name.endsWith(".bytes")),
        sum(metrics, name -> isPeerTraffic(name) && name.endsWith(".status.bytes")),
        sum(metrics, name -> isPeerTraffic(name) && name.endsWith(".status.messages")),
        sum(metrics, name -> name.startsWith("stream.") && name.endsWith(".appends")),
        sum(metrics, name -> name.startsWith("stream.") && name.endsWith(".entries")),
        sum(metrics, name -> name.startsWith("stream.") && name.endsWith(".reads")));
  }

  private static boolean isPeerTraffic(String name) {
    return name.startsWith("peer.") && !name.contains(".link.");
  }

  private static long sum(JsonObject metrics, Predicate<String> nameFilter) {
    long sum = 0;
    for (Map.Entry<String, JsonElement> metric : metrics.entrySet()) {
      if (nameFilter.test(metric.getKey())) {
        sum += metric.getValue().getAsLong();
      }
    }
    return sum;
  }
}
