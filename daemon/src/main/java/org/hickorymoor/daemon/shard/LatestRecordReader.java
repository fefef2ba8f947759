package org.hickorymoor.daemon.shard;

import java.util.List;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Page;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Reads the newest record of every key of a stream, page by page, each again until the store
 * answers. Belongs to the thread of the loop.
 */
final class LatestRecordReader {

  /** Takes what was read. */
  interface Sink {

    /** Returns whether nothing more is wanted. */
    boolean isClosed();

    /** Takes in whether the store answered; the failure is null if it did. */
    default void onAnswer(@Nullable PlatformException failure) {}

    /** Takes in one record. */
    void onRecord(StoredRecord stored);

    /** Takes in that all were read; what came after the offset may be missing. */
    void onEnd(long endOffset);
  }

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final KeyedStream part;
  private final Sink sink;
  private long endOffset;

  private LatestRecordReader(ShardEventLoop loop, KeyedLogPort log, KeyedStream part, Sink sink) {
    this.loop = loop;
    this.log = log;
    this.part = part;
    this.sink = sink;
  }

  static void read(ShardEventLoop loop, KeyedLogPort log, KeyedStream part, Sink sink) {
    new LatestRecordReader(loop, log, part, sink).page(null);
  }

  private void page(@Nullable String after) {
    if (!sink.isClosed()) {
      loop.then(
          log.readNewest(part, after, ShardSettings.STORE_TIMEOUT_MS),
          (page, failure) -> onPage(after, page, failure));
    }
  }

  private void onPage(
      @Nullable String after, @Nullable Page page, @Nullable PlatformException failure) {
    if (sink.isClosed()) {
      return;
    }
    sink.onAnswer(failure);
    if (page == null) {
      loop.schedule(ShardSettings.STORE_RETRY_MS, () -> page(after));
      return;
    }
    if (after == null) {
      endOffset = page.endOffset();
    }
    List<StoredRecord> records = page.records();
    records.forEach(sink::onRecord);
    if (page.hasMore() && !records.isEmpty()) {
      page(records.get(records.size() - 1).key());
    } else {
      sink.onEnd(endOffset);
    }
  }
}
