package org.hickorymoor.daemon.peer;

import org.jspecify.annotations.Nullable;

/** What a frame is for. Codes, and whether an id follows, are the same in all versions. */
enum FrameKind {
  /** First frame of each end: who it is and which versions it speaks. */
  HELLO(1, false),

  /** Says that the sender is there. */
  HEARTBEAT(2, false),

  /** A request, to be answered under its id. */
  REQUEST(3, true),

  /** The reply to the request with the same id. */
  REPLY(4, true),

  /** Says that the frame with the same id could not be taken, or its reply not be sent. */
  ERROR(5, true),

  /** Says that the sender is stopping and answers what it has, but takes nothing new. */
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
