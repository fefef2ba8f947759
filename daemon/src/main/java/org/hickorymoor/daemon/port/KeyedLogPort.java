package org.hickorymoor.daemon.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Access to compacted streams: append-only streams of keyed records that retain the newest record
 * of each key permanently.
 *
 * <p>Futures fail only with {@link PlatformException}, and complete within the timeout of the call.
 * Thread-safe.
 */
public interface KeyedLogPort {

  /** Expected end offset for an append that may go to any offset. */
  long ANY_OFFSET = -1;

  /**
   * A record to append.
   *
   * @param key the key, at most 255 bytes
   * @param value the content; empty to delete the key
   */
  record Entry(String key, byte[] value) {

    /** Returns a record that deletes a key. */
    public static Entry tombstone(String key) {
      return new Entry(key, new byte[0]);
    }
  }

  /**
   * A record read from a stream.
   *
   * @param offset the offset
   * @param key the key
   * @param value the content; empty if the record deletes the key
   */
  record StoredRecord(long offset, String key, byte[] value) {

    /** Returns whether the record deletes its key. */
    public boolean isTombstone() {
      return value.length == 0;
    }
  }

  /**
   * Identifies an append by an exclusive writer. Repeating an append has no further effect, and an
   * append by a writer with an older epoch is rejected.
   *
   * @param name name of the exclusive role
   * @param epoch number that increases whenever the role changes hands
   * @param sequence number of the append within the epoch
   */
  record Writer(String name, long epoch, long sequence) {}

  /**
   * Consecutive records of a stream.
   *
   * @param endOffset offset after the newest record of the stream
   * @param records the records in offset order
   */
  record Chunk(long endOffset, List<StoredRecord> records) {}

  /**
   * A page of the newest record of each key.
   *
   * @param records the records in key order
   * @param hasMore whether there are more pages
   * @param endOffset offset after the newest record of the stream when the page was read
   */
  record Page(List<StoredRecord> records, boolean hasMore, long endOffset) {}

  /**
   * Appends records atomically.
   *
   * @param stream the stream
   * @param entries the records
   * @param writer identity of an exclusive writer, or null
   * @param expectedEnd offset at which the stream must end, or {@link #ANY_OFFSET}
   * @param timeoutMs timeout of the whole call
   * @return offset of the first record
   */
  CompletableFuture<Long> append(
      KeyedStream stream,
      List<Entry> entries,
      @Nullable Writer writer,
      long expectedEnd,
      long timeoutMs);

  /**
   * Reads consecutive records of a stream.
   *
   * @param stream the stream
   * @param fromOffset offset of the first record to read
   * @param waitMs maximum time to wait for the first record; 0 to return immediately
   * @param timeoutMs timeout of the whole call, including the wait
   * @return the records; none if none were appended in time
   */
  CompletableFuture<Chunk> read(KeyedStream stream, long fromOffset, long waitMs, long timeoutMs);

  /**
   * Reads the newest record of each key. Pages are not a consistent snapshot, as each shows the
   * stream at the time of its call.
   *
   * @param stream the stream
   * @param afterKey last key of the previous page, or null for the first page
   * @param timeoutMs timeout of the whole call
   * @return one page
   */
  CompletableFuture<Page> readNewest(KeyedStream stream, @Nullable String afterKey, long timeoutMs);
}
