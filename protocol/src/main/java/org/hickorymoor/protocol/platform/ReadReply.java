package org.hickorymoor.protocol.platform;

import java.util.List;

/**
 * A stretch of a stream.
 *
 * @param startOffset oldest record still kept
 * @param endOffset offset that the next append gets
 * @param records records in offset order
 */
public record ReadReply(long startOffset, long endOffset, List<LogRecord> records) {
  /** Copies the list. */
  public ReadReply {
    records = List.copyOf(records);
  }
}
