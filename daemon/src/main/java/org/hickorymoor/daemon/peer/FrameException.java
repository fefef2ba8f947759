package org.hickorymoor.daemon.peer;

/** Tells that a frame can't be taken. */
final class FrameException extends Exception {

  private static final long serialVersionUID = 1L;

  private final FrameErrorType type;
  private final int id;

  /**
   * Makes the exception.
   *
   * @param type what is wrong
   * @param id id in the frame, 0 where it has none or was not read
   * @param message what was expected and what came
   */
  FrameException(FrameErrorType type, int id, String message) {
    super(message);
    this.type = type;
    this.id = id;
  }

  static FrameException malformed(String message) {
    return new FrameException(FrameErrorType.MALFORMED, 0, message);
  }

  FrameErrorType type() {
    return type;
  }

  int id() {
    return id;
  }
}
