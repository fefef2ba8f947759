package org.hickorymoor.daemon.stream;

/**
 * Thrown when an append of an entry could not be confirmed.
 *
 * <p>If {@link #mayBeInLog} returns false, the entry is not in the log and never will be.
 */
public final class AppendFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Reason for the failure. */
  public enum Type {
    /** The entry's deadline passed before the append was confirmed. */
    DEADLINE_PASSED,

    /** The queue has reached its size limit. */
    QUEUE_FULL,

    /** The entry exceeds the maximum size of a batch. */
    TOO_LARGE,

    /** The appender is not running. */
    STOPPED
  }

  private final Type type;
  private final boolean mayBeInLog;

  AppendFailedException(Type type, boolean mayBeInLog, String message) {
    super(message);
    this.type = type;
    this.mayBeInLog = mayBeInLog;
  }

  /**
   * Returns the reason for the failure.
   *
   * @return the type
   */
  public Type type() {
    return type;
  }

  /**
   * Returns whether the entry may be in the log, now or later.
   *
   * @return false if it is certain that the entry is not and never will be in the log
   */
  public boolean mayBeInLog() {
    return mayBeInLog;
  }
}
