package org.hickorymoor.daemon.coordinator;

/** Tells that something could not be recorded in the log. */
public final class JournalException extends Exception {

  private static final long serialVersionUID = 1L;

  /** What went wrong. */
  public enum Type {
    /** The log can't be reached; the record is certainly not in force. */
    LOG_OUT,

    /** The record may stand in the log; it is known once the log answers again. */
    UNKNOWN,

    /** Another failure domain claimed the key first; the message names it. */
    CLAIMED_ELSEWHERE,

    /** Another host has taken over the failure domain. */
    SUPERSEDED
  }

  private final Type type;
  private final String explanation;

  /**
   * Makes the exception.
   *
   * @param type what went wrong
   * @param explanation what was to be recorded, and what came
   */
  public JournalException(Type type, String explanation) {
    super(explanation);
    this.type = type;
    this.explanation = explanation;
  }

  /**
   * Returns what was to be recorded, and what came.
   *
   * @return a sentence
   */
  public String explanation() {
    return explanation;
  }

  /**
   * Returns what went wrong.
   *
   * @return the type
   */
  public Type type() {
    return type;
  }
}
