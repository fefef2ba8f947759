package org.hickorymoor.daemon.stream;

import com.google.gson.JsonElement;

/** Is told the entries of a stream that {@link BatchAppender}s write. */
public interface EntryListener {

  /**
   * Takes the next entry; every entry is delivered once.
   *
   * @param position where it stands
   * @param entry the entry
   */
  void onEntry(EntryPosition position, JsonElement entry);

  /**
   * Tells that records were dropped by retention before they could be read.
   *
   * @param gap what was missed
   */
  void onGap(StreamGap gap);

  /**
   * Tells where the follower stands, after each answer and each failure.
   *
   * @param status the status
   */
  default void onStatus(FollowerStatus status) {}
}
