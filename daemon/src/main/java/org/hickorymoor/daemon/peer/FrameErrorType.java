package org.hickorymoor.daemon.peer;

/** What is wrong with a frame; travels in error frames. */
enum FrameErrorType {
  /** The frame can't be read. */
  MALFORMED,

  /** The frame has a version that the receiver does not speak. */
  UNSUPPORTED_VERSION,

  /** The frame is larger than the receiver takes. */
  TOO_LARGE,

  /** The reply is larger than a frame may be, so it was not sent. */
  REPLY_TOO_LARGE
}
