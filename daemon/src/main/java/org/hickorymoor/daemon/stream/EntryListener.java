package org.hickorymoor.daemon.stream;

import com.google.gson.JsonElement;

/** Receives the entries of a stream that is written by {@link BatchAppender}s. */
public interface EntryListener {

  /**
   * Called for the next entry; every entry is delivered once.
   *
   * @param position position of the entry in the stream
   * @param entry the entry
   */
  void onEntry(EntryPosition position, JsonElement entry);

  /**
   * Called when records were skipped, such as those dropped by retention before they were read.
   *
   * @param gap the skipped offsets
   */
  void onGap(StreamGap gap);

  /**
   * Called after each reply and each failed read.
   *
   * @param status status of the follower
   */
  default void onStatus(FollowerStatus status) {}
}
