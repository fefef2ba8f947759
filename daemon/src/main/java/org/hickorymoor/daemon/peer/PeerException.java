package org.hickorymoor.daemon.peer;

/**
 * Tells that a peer gave no usable answer.
 *
 * <p>Only {@link Type#UNREACHABLE} and {@link Type#OVERLOADED} say that the request was not carried
 * out.
 */
public final class PeerException extends Exception {

  private static final long serialVersionUID = 1L;

  /** What went wrong. */
  public enum Type {
    /** The request certainly was not sent whole, so it was not carried out. */
    UNREACHABLE,

    /** No answer came in time or the connection closed; the request may have been carried out. */
    NO_ANSWER,

    /** The answer could not be read or sent; the request may have been carried out. */
    BAD_ANSWER,

    /** Too many calls to the peer are in flight; the request was not sent. */
    OVERLOADED
  }

  private final Type type;

  /**
   * Makes the exception.
   *
   * @param type what went wrong
   * @param message what was asked of whom, and what came
   */
  public PeerException(Type type, String message) {
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
   * Tells whether the request may have been carried out.
   *
   * @return false if it certainly was not
   */
  public boolean mayHaveTakenEffect() {
    return type == Type.NO_ANSWER || type == Type.BAD_ANSWER;
  }
}
