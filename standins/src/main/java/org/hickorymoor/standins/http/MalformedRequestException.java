package org.hickorymoor.standins.http;

/** Thrown when the body or parameters of a request cannot be parsed; the request had no effect. */
public final class MalformedRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what was expected, what was received and where
   */
  public MalformedRequestException(String message) {
    super(message);
  }

  /**
   * Creates the exception with a cause.
   *
   * @param message what was expected, what was received and where
   * @param cause the failure of the parser
   */
  public MalformedRequestException(String message, Throwable cause) {
    super(message, cause);
  }
}
