package org.hickorymoor.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.protocol.platform.ReadReply;

/**
 * Access to the platform's log.
 *
 * <p>Futures fail only with {@link PlatformException}, and complete within the timeout of the call.
 * The record of a failed append may still be in the log. Thread-safe.
 */
public interface LogPort {

  /**
   * Appends one record.
   *
   * @param stream name of the stream
   * @param data the record, at most 256 KiB
   * @param timeoutMs timeout of the whole call
   * @return offset of the record
   */
  CompletableFuture<Long> append(String stream, String data, long timeoutMs);

  /**
   * Reads consecutive records of a stream.
   *
   * @param stream name of the stream
   * @param fromOffset offset of the first record to read
   * @param maxRecords maximum number of records
   * @param waitMs maximum time to wait for the first record; 0 to return immediately
   * @param timeoutMs timeout of the whole call, including the wait
   * @return the records and the first and end offsets of the stream
   */
  CompletableFuture<ReadReply> read(
      String stream, long fromOffset, int maxRecords, long waitMs, long timeoutMs);
}
