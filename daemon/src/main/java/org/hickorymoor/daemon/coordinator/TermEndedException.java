package org.hickorymoor.daemon.coordinator;

/** Tells that this host is no longer the coordinator; the next one can be asked the same. */
public final class TermEndedException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Makes the exception. */
  public TermEndedException() {
    super("this host is no longer the coordinator; ask the next one");
  }
}
