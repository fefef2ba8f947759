package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedStream;

/**
 * Drops the submissions of ended jobs from the store, so that a takeover reads open jobs only.
 *
 * <p>Nothing depends on it: the ledger says that these jobs have ended. What can't be dropped is
 * tried again with the next ones. Belongs to the thread of the loop.
 */
final class EndedSubmissionCleaner {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** One append for each lane in this time is below 0.2% of the store's smallest write rate. */
  private static final long DROP_MS = 2_000;

  /** Keeps an append below 100 kB. */
  private static final int MAX_BATCH = 1_000;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final Map<String, Map<String, KeyedStream>> kept = new HashMap<>();
  private final Map<KeyedStream, List<Entry>> toDrop = new EnumMap<>(KeyedStream.class);
  private boolean closed;

  EndedSubmissionCleaner(ShardEventLoop loop, KeyedLogPort log) {
    this.loop = loop;
    this.log = log;
  }

  void start() {
    loop.schedule(DROP_MS, this::drop);
  }

  void close() {
    closed = true;
  }

  /** Notes where a record of a job is kept. */
  void seen(String jobId, KeyedStream lane, String key) {
    kept.computeIfAbsent(jobId, id -> new HashMap<>()).put(key, lane);
  }

  /** Takes in that the ledger holds the end of a job. */
  void ended(String jobId) {
    Map<String, KeyedStream> records = kept.remove(jobId);
    if (records != null) {
      records.forEach(
          (key, lane) ->
              toDrop.computeIfAbsent(lane, unused -> new ArrayList<>()).add(Entry.tombstone(key)));
    }
  }

  private void drop() {
    if (closed) {
      return;
    }
    for (KeyedStream lane : List.copyOf(toDrop.keySet())) {
      List<Entry> all = toDrop.getOrDefault(lane, List.of());
      List<Entry> batch = List.copyOf(all.subList(0, Math.min(MAX_BATCH, all.size())));
      toDrop.put(lane, new ArrayList<>(all.subList(batch.size(), all.size())));
      if (!batch.isEmpty()) {
        append(lane, batch);
      }
    }
    loop.schedule(DROP_MS, this::drop);
  }

  private void append(KeyedStream lane, List<Entry> batch) {
    loop.then(
        log.append(lane, batch, null, KeyedLogPort.ANY_OFFSET, ShardSettings.STORE_TIMEOUT_MS),
        (offset, failure) -> {
          if (failure != null && !closed) {
            logger.atFine().log(
                "submissions: %d of ended jobs not dropped: %s",
                batch.size(), failure.getMessage());
            toDrop.computeIfAbsent(lane, unused -> new ArrayList<>()).addAll(batch);
          }
        });
  }
}
