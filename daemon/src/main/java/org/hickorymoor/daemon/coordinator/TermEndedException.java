package org.hickorymoor.daemon.coordinator;

/** Thrown if this host is no longer the coordinator; the request can be sent to the next one. */
public final class TermEndedException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a fixed message. */
  public TermEndedException() {
    super("this host is no longer the coordinator; retry at the current coordinator");
  }
}
