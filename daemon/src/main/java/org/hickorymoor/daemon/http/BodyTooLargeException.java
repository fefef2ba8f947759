package org.hickorymoor.daemon.http;

/** Thrown when the body of a request exceeds its size limit. */
public final class BodyTooLargeException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param maxBytes the size limit
   */
  public BodyTooLargeException(long maxBytes) {
    super("expected a body of at most " + maxBytes + " bytes, got more; reduce its size");
  }
}
