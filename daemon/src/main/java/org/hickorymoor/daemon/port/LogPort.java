package org.hickorymoor.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.protocol.platform.ReadReply;

/**
 * Talks to the platform's log.
 *
 * <p>Every future fails with a {@link PlatformException} and with nothing else, within the timeout
 * of the call. An append that failed may stand in the log all the same. Safe for use by several
 * threads.
 */
public interface LogPort {

  /**
   * Appends one record.
   *
   * @param stream name of the stream
   * @param data the record, at most 256 KiB
   * @param timeoutMs time for the whole call
   * @return offset of the record
   */
  CompletableFuture<Long> append(String stream, String data, long timeoutMs);

  /**
   * Reads a stretch of a stream.
   *
   * @param stream name of the stream
   * @param fromOffset first offset wanted
   * @param maxRecords most records wanted
   * @param waitMs longest time to wait for a first record; 0 for no wait
   * @param timeoutMs time for the whole call, the wait included
   * @return the records and the ends of the stream
   */
  CompletableFuture<ReadReply> read(
      String stream, long fromOffset, int maxRecords, long waitMs, long timeoutMs);
}
