package org.hickorymoor.daemon.port;

/**
 * Tells that the platform could not be asked, or gave no usable answer.
 *
 * <p>Only {@link Type#NO_ANSWER} and {@link Type#BAD_ANSWER} leave open whether the call had its
 * effect.
 */
public final class PlatformException extends Exception {

  private static final long serialVersionUID = 1L;

  /** What went wrong. */
  public enum Type {
    /** No connection could be made; the call had no effect. */
    UNREACHABLE,

    /** No answer came in time or the connection broke; the call may have had its effect. */
    NO_ANSWER,

    /** The platform refused the call; it had no effect. */
    REFUSED,

    /** The answer could not be read; the call may have had its effect. */
    BAD_ANSWER,

    /** A writer with a newer epoch has taken over; the call had no effect. */
    FENCED,

    /** An earlier append of the same writer has not arrived yet; the call had no effect. */
    OUT_OF_ORDER,

    /** The partition does not end where the caller expected; the call had no effect. */
    CONFLICT,

    /** The records asked for are no longer kept. */
    TRIMMED
  }

  private final Type type;

  /**
   * Makes the exception.
   *
   * @param type what went wrong
   * @param message what was asked of whom, and what came
   */
  public PlatformException(Type type, String message) {
    super(message);
    this.type = type;
  }

  /**
   * Returns what went wrong.
   *
   * @return the type
   */
  public Type type() {
    return type;
  }

  /**
   * Tells whether the call may have had its effect.
   *
   * @return false if it certainly had none
   */
  public boolean mayHaveTakenEffect() {
    return type == Type.NO_ANSWER || type == Type.BAD_ANSWER;
  }
}
