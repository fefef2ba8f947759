package org.hickorymoor.daemon.stream;

/**
 * Tells that an entry is not known to stand in the log.
 *
 * <p>Unless {@link #mayBeInLog} says otherwise, the entry does not stand there and never will.
 */
public final class AppendFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Why the entry is not known to stand in the log. */
  public enum Type {
    /** The entry's time passed first. */
    DEADLINE_PASSED,

    /** Too many bytes are queued already. */
    QUEUE_FULL,

    /** The entry is larger than one record may be. */
    TOO_LARGE,

    /** The appender does not run. */
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
   * Returns why.
   *
   * @return the type
   */
  public Type type() {
    return type;
  }

  /**
   * Tells whether the entry may stand in the log, now or later.
   *
   * @return false if it certainly does not and never will
   */
  public boolean mayBeInLog() {
    return mayBeInLog;
  }
}
