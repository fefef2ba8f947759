package org.hickorymoor.daemon.peer;

/** Thrown when a frame is invalid or unsupported. */
final class FrameException extends Exception {

  private static final long serialVersionUID = 1L;

  private final FrameErrorType type;
  private final int id;

  /**
   * Creates the exception.
   *
   * @param type kind of error
   * @param id id of the frame, 0 if it has none or it was not read
   * @param message details, with the expected and the actual values
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
