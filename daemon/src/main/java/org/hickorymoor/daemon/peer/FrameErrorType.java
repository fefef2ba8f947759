package org.hickorymoor.daemon.peer;

/** Kind of a frame error; sent by name in error frames. */
enum FrameErrorType {
  /** The frame cannot be decoded. */
  MALFORMED,

  /** The receiver does not support the version of the frame's body. */
  UNSUPPORTED_VERSION,

  /** The frame exceeds the receiver's size limit. */
  TOO_LARGE,

  /** The reply exceeds the maximum frame size and was not sent. */
  REPLY_TOO_LARGE
}
