package org.hickorymoor.protocol.platform;

import java.util.List;

/**
 * Response to a read: a range of records from a log stream.
 *
 * @param startOffset offset of the oldest record that is retained
 * @param endOffset offset of the next record to be appended
 * @param records records, in offset order
 */
public record ReadReply(long startOffset, long endOffset, List<LogRecord> records) {
  /** Copies the list. */
  public ReadReply {
    records = List.copyOf(records);
  }
}
