package org.hickorymoor.cli.client;

/** Thrown when no server responded to a call. */
public abstract class ClientException extends Exception {

  private static final long serialVersionUID = 1L;

  ClientException(String message) {
    super(message);
  }
}
