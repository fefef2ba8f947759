package org.hickorymoor.daemon.stream;

import org.hickorymoor.protocol.platform.LogRecord;

/**
 * Is told what a {@link LogFollower} reads.
 *
 * <p>Calls come one at a time and in offset order. A listener must not block.
 */
public interface StreamListener {

  /**
   * Takes the next record; every record is delivered once.
   *
   * @param record the record
   */
  void onRecord(LogRecord record);

  /**
   * Tells that records were dropped by retention before they could be read.
   *
   * @param gap what was missed
   */
  void onGap(StreamGap gap);

  /**
   * Tells that everything the log held at the last answer has been delivered, or that the log can't
   * be read.
   *
   * @param status where the follower stands
   */
  default void onStatus(FollowerStatus status) {}
}
