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
 * Removes the submissions of ended jobs from the store, so that a takeover reads open jobs only.
 *
 * <p>Best effort: the ledger records that these jobs have ended. Removals that fail are retried
 * with the next batch. Not thread-safe; confined to the event loop thread.
 */
final class EndedSubmissionCleaner {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** One append per partition at this interval is below 0.2% of the store's smallest write rate. */
  private static final long CLEANUP_INTERVAL_MS = 2_000;

  /** Keeps an append below 100 kB. */
  private static final int MAX_BATCH_RECORDS = 1_000;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final Map<String, Map<String, KeyedStream>> recordsByJob = new HashMap<>();
  private final Map<KeyedStream, List<Entry>> toDrop = new EnumMap<>(KeyedStream.class);
  private boolean closed;

  EndedSubmissionCleaner(ShardEventLoop loop, KeyedLogPort log) {
    this.loop = loop;
    this.log = log;
  }

  void start() {
    loop.schedule(CLEANUP_INTERVAL_MS, this::dropBatches);
  }

  void close() {
    closed = true;
  }

  /** Records in which partition a record of a job is stored. */
  void recordSeen(String jobId, KeyedStream partition, String key) {
    recordsByJob.computeIfAbsent(jobId, id -> new HashMap<>()).put(key, partition);
  }

  /** Schedules the removal of a job's records; the ledger must hold the end of the job. */
  void jobEnded(String jobId) {
    Map<String, KeyedStream> records = recordsByJob.remove(jobId);
    if (records != null) {
      records.forEach(
          (key, partition) ->
              toDrop
                  .computeIfAbsent(partition, unused -> new ArrayList<>())
                  .add(Entry.tombstone(key)));
    }
  }

  private void dropBatches() {
    if (closed) {
      return;
    }
    for (KeyedStream partition : List.copyOf(toDrop.keySet())) {
      List<Entry> all = toDrop.getOrDefault(partition, List.of());
      List<Entry> batch = List.copyOf(all.subList(0, Math.min(MAX_BATCH_RECORDS, all.size())));
      toDrop.put(partition, new ArrayList<>(all.subList(batch.size(), all.size())));
      if (!batch.isEmpty()) {
        append(partition, batch);
      }
    }
    loop.schedule(CLEANUP_INTERVAL_MS, this::dropBatches);
  }

  private void append(KeyedStream partition, List<Entry> batch) {
    loop.then(
        log.append(partition, batch, null, KeyedLogPort.ANY_OFFSET, ShardSettings.STORE_TIMEOUT_MS),
        (offset, failure) -> {
          if (failure != null && !closed) {
            logger.atFine().log(
                "submissions: Removing %d records of ended jobs failed: %s",
                batch.size(), failure.getMessage());
            toDrop.computeIfAbsent(partition, unused -> new ArrayList<>()).addAll(batch);
          }
        });
  }
}
