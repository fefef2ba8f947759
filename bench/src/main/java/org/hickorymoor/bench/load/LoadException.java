package org.hickorymoor.bench.load;

/** Thrown when a measurement cannot be completed. */
final class LoadException extends Exception {

  private static final long serialVersionUID = 1;

  LoadException(String message) {
    super(message);
  }

  LoadException(String message, Throwable cause) {
    super(message, cause);
  }
}
