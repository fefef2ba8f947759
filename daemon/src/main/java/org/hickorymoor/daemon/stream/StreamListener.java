package org.hickorymoor.daemon.stream;

import org.hickorymoor.protocol.platform.LogRecord;

/**
 * Receives the records that a {@link LogFollower} reads.
 *
 * <p>Methods are called one at a time and in offset order, and must not block.
 */
public interface StreamListener {

  /**
   * Called for the next record; every record is delivered once.
   *
   * @param record the record
   */
  void onRecord(LogRecord record);

  /**
   * Called when records were skipped, such as those dropped by retention before they were read.
   *
   * @param gap the skipped offsets
   */
  void onGap(StreamGap gap);

  /**
   * Called when all records of a reply have been delivered, or when a read has failed.
   *
   * @param status status of the follower
   */
  default void onStatus(FollowerStatus status) {}
}
