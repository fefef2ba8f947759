package org.hickorymoor.bench.load;

/** A measurement that could not be made. */
final class LoadException extends Exception {

  private static final long serialVersionUID = 1;

  LoadException(String message) {
    super(message);
  }

  LoadException(String message, Throwable cause) {
    super(message, cause);
  }
}
