package org.hickorymoor.cli;

/** Thrown when the command line or an input file is invalid. */
final class UsageException extends Exception {

  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
