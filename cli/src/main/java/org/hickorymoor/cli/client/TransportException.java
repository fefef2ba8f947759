package org.hickorymoor.cli.client;

/** Thrown when a call got no whole reply from a server. */
public final class TransportException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean maybeSent;

  /**
   * Reports a failed call.
   *
   * @param message what failed
   * @param maybeSent false if no byte of the call can have reached the server
   */
  public TransportException(String message, boolean maybeSent) {
    super(message);
    this.maybeSent = maybeSent;
  }

  /**
   * Tells whether the server may have got the call.
   *
   * @return false if it certainly got nothing
   */
  public boolean maybeSent() {
    return maybeSent;
  }
}
