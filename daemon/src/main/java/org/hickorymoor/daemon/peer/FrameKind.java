package org.hickorymoor.daemon.peer;

import org.jspecify.annotations.Nullable;

/** Kind of a frame. The codes, and which kinds carry an id, are the same in all versions. */
enum FrameKind {
  /** First frame from each end: its region, failure domain and newest body version. */
  HELLO(1, false),

  /** Sent on an otherwise idle connection to show that the sender is alive. */
  HEARTBEAT(2, false),

  /** A request; the reply carries the same id. */
  REQUEST(3, true),

  /** The reply to the request with the same id. */
  REPLY(4, true),

  /** The frame with the same id was rejected, or the reply to it could not be sent. */
  ERROR(5, true),

  /** The sender is stopping: it replies to requests in flight and refuses new ones. */
  GO_AWAY(6, false);

  private final byte code;
  private final boolean hasId;

  FrameKind(int code, boolean hasId) {
    this.code = (byte) code;
    this.hasId = hasId;
  }

  byte code() {
    return code;
  }

  boolean hasId() {
    return hasId;
  }

  static @Nullable FrameKind ofCode(byte code) {
    for (FrameKind kind : values()) {
      if (kind.code == code) {
        return kind;
      }
    }
    return null;
  }
}
