package org.hickorymoor.cli;

/** Thrown when the command line, or a file that it names, is wrong. */
final class UsageException extends Exception {

  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
