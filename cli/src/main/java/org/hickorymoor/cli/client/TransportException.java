package org.hickorymoor.cli.client;

/** Thrown when no complete response was received for a call. */
public final class TransportException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean maybeSent;

  /**
   * Creates an exception for a failed call.
   *
   * @param message description of the failure
   * @param maybeSent false if no byte of the call can have reached the server
   */
  public TransportException(String message, boolean maybeSent) {
    super(message);
    this.maybeSent = maybeSent;
  }

  /**
   * Returns whether the server may have received the call.
   *
   * @return false if the server certainly received nothing
   */
  public boolean maybeSent() {
    return maybeSent;
  }
}
