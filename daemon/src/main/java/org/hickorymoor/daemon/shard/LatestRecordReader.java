package org.hickorymoor.daemon.shard;

import java.util.List;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Page;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Reads the latest record of every key of a stream, page by page; each page is requested until the
 * store answers. Not thread-safe; confined to the event loop thread.
 */
final class LatestRecordReader {

  /** Receives the records. */
  interface Handler {

    /** Returns whether reading should stop. */
    boolean isClosed();

    /** Called with the result of each request; the failure is null if the store answered. */
    default void onResponse(@Nullable PlatformException failure) {}

    /** Called for each record. */
    void onRecord(StoredRecord stored);

    /** Called when all pages are read; records from the offset on may be missing. */
    void onComplete(long endOffset);
  }

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final KeyedStream stream;
  private final Handler handler;
  private long endOffset;

  private LatestRecordReader(
      ShardEventLoop loop, KeyedLogPort log, KeyedStream stream, Handler handler) {
    this.loop = loop;
    this.log = log;
    this.stream = stream;
    this.handler = handler;
  }

  static void read(ShardEventLoop loop, KeyedLogPort log, KeyedStream stream, Handler handler) {
    new LatestRecordReader(loop, log, stream, handler).fetchPage(null);
  }

  private void fetchPage(@Nullable String afterKey) {
    if (!handler.isClosed()) {
      loop.then(
          log.readNewest(stream, afterKey, ShardSettings.STORE_TIMEOUT_MS),
          (page, failure) -> onPage(afterKey, page, failure));
    }
  }

  private void onPage(
      @Nullable String afterKey, @Nullable Page page, @Nullable PlatformException failure) {
    if (handler.isClosed()) {
      return;
    }
    handler.onResponse(failure);
    if (page == null) {
      loop.schedule(ShardSettings.STORE_RETRY_MS, () -> fetchPage(afterKey));
      return;
    }
    if (afterKey == null) {
      endOffset = page.endOffset();
    }
    List<StoredRecord> records = page.records();
    for (StoredRecord stored : records) {
      // A record that can't be handled must not keep later ones from being read.
      ShardEventLoop.runIsolated(
          () -> handler.onRecord(stored),
          "record " + stored.key() + " of " + stream + " at offset " + stored.offset());
    }
    if (page.hasMore() && !records.isEmpty()) {
      fetchPage(records.get(records.size() - 1).key());
    } else {
      handler.onComplete(endOffset);
    }
  }
}
