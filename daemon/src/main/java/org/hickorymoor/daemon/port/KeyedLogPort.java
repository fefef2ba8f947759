package org.hickorymoor.daemon.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Keeps keyed records: an append-only stream whose newest record of each key is kept for good.
 *
 * <p>Every future fails with a {@link PlatformException} and with nothing else, within the timeout
 * of the call. Safe for use by several threads.
 */
public interface KeyedLogPort {

  /** Passed where an append may go to any offset. */
  long ANY_OFFSET = -1;

  /**
   * A record to append.
   *
   * @param key its key, at most 255 bytes
   * @param value its content; empty to drop the key
   */
  record Entry(String key, byte[] value) {

    /** Returns the record that drops a key. */
    public static Entry drop(String key) {
      return new Entry(key, new byte[0]);
    }
  }

  /**
   * A stored record.
   *
   * @param offset its offset
   * @param key its key
   * @param value its content; empty if the key was dropped
   */
  record Stored(long offset, String key, byte[] value) {

    /** Returns whether the record says that the key was dropped. */
    public boolean isDrop() {
      return value.length == 0;
    }
  }

  /**
   * Identifies an append of an exclusive writer, so that a repeat has no second effect and an
   * append of a former writer has none at all.
   *
   * @param name name of the role that is exclusive
   * @param epoch rises with each change of the holder
   * @param sequence number of the append within the epoch
   */
  record Writer(String name, long epoch, long sequence) {}

  /**
   * A stretch of a stream.
   *
   * @param endOffset offset after the newest record of the stream
   * @param records the records in offset order
   */
  record Chunk(long endOffset, List<Stored> records) {}

  /**
   * A page of the newest records of each key.
   *
   * @param records the records in key order
   * @param hasMore whether more pages follow
   * @param endOffset offset after the newest record when the page was made
   */
  record Page(List<Stored> records, boolean hasMore, long endOffset) {}

  /**
   * Appends records, all or none.
   *
   * @param part stream
   * @param entries the records
   * @param writer identity of an exclusive writer, or null
   * @param expectedEnd offset at which the stream must end, or {@link #ANY_OFFSET}
   * @param timeoutMs time for the whole call
   * @return offset of the first record
   */
  CompletableFuture<Long> append(
      LogPart part, List<Entry> entries, @Nullable Writer writer, long expectedEnd, long timeoutMs);

  /**
   * Reads a stretch of a stream.
   *
   * @param part stream
   * @param fromOffset first offset wanted
   * @param waitMs longest time to wait for a first record; 0 for no wait
   * @param timeoutMs time for the whole call, the wait included
   * @return the stretch, which has no records if none came in time
   */
  CompletableFuture<Chunk> read(LogPart part, long fromOffset, long waitMs, long timeoutMs);

  /**
   * Reads the newest record of each key.
   *
   * @param part stream
   * @param afterKey last key of the page before, or null for the first page
   * @param timeoutMs time for the whole call
   * @return a page; pages are not of one moment
   */
  CompletableFuture<Page> newest(LogPart part, @Nullable String afterKey, long timeoutMs);
}
