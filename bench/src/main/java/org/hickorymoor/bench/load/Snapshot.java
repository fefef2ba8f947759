package org.hickorymoor.bench.load;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What an entry host has used and sent up to a moment.
 *
 * @param atNs the moment, on the machine's monotonic clock
 * @param usage what its process has used
 * @param workerBytes bytes both ways of a worker, on average
 * @param logBytes bytes both ways of the log
 * @param hostListBytes bytes both ways of the host list
 * @param peerBytes bytes both ways of other entry hosts
 * @param statusBytes those of them for the exchange of statuses
 * @param statusMessages number of statuses sent and received
 * @param appends appends to the log
 * @param entries entries in these appends
 * @param reads reads of the log
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

  static Snapshot of(LoadCell cell, LoadCell.EntryProcess daemon, HttpCalls http)
      throws IOException, LoadException {
    JsonObject metrics = http.get(LoadCell.url(daemon, "/metrics"));
    return new Snapshot(
        System.nanoTime(),
        ProcessUsage.of(daemon.process().pid()),
        cell.bytesOfOneWorker(),
        LoadCell.bytes(daemon.log()),
        LoadCell.bytes(daemon.hosts()),
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

  private static long sum(JsonObject metrics, Predicate<String> wanted) {
    long sum = 0;
    for (Map.Entry<String, JsonElement> metric : metrics.entrySet()) {
      if (wanted.test(metric.getKey())) {
        sum += metric.getValue().getAsLong();
      }
    }
    return sum;
  }
}
