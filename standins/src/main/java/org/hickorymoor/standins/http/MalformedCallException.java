package org.hickorymoor.standins.http;

/** Tells that a call's body or parameters could not be read; the call had no effect. */
public final class MalformedCallException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param message what was expected, what came and where
   */
  public MalformedCallException(String message) {
    super(message);
  }

  /**
   * Makes the exception with its cause.
   *
   * @param message what was expected, what came and where
   * @param cause what the reader of the body said
   */
  public MalformedCallException(String message, Throwable cause) {
    super(message, cause);
  }
}
