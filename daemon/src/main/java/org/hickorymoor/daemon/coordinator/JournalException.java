package org.hickorymoor.daemon.coordinator;

/** Thrown if an entry could not be recorded in the log. */
public final class JournalException extends Exception {

  private static final long serialVersionUID = 1L;

  /** The kind of failure. */
  public enum Type {
    /** The log is unavailable; the entry was certainly not recorded. */
    LOG_OUT,

    /** The entry may be in the log; whether it is can be told once the log is available again. */
    UNKNOWN,

    /** Another failure domain or an earlier job holds the key; the message names it. */
    CLAIMED_ELSEWHERE,

    /** Another host has taken over the failure domain. */
    SUPERSEDED
  }

  private final Type type;
  private final String explanation;

  /**
   * Creates an exception.
   *
   * @param type kind of failure
   * @param explanation description of the failure, for people
   */
  public JournalException(Type type, String explanation) {
    super(explanation);
    this.type = type;
    this.explanation = explanation;
  }

  /**
   * Returns the description of the failure; unlike {@link #getMessage}, never null.
   *
   * @return a sentence for people
   */
  public String explanation() {
    return explanation;
  }

  /**
   * Returns the kind of failure.
   *
   * @return the type
   */
  public Type type() {
    return type;
  }
}
