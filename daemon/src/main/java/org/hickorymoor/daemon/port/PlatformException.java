package org.hickorymoor.daemon.port;

import com.google.common.base.Ascii;

/**
 * Thrown when a call to the platform fails.
 *
 * <p>The call may have taken effect only for {@link Type#NO_RESPONSE}, {@link
 * Type#CONNECTION_CLOSED} and {@link Type#BAD_RESPONSE}.
 */
public final class PlatformException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Kinds of failures. */
  public enum Type {
    /** The connection could not be established; the call had no effect. */
    UNREACHABLE,

    /** The call was not sent, since the limit of calls was reached; it had no effect. */
    NOT_SENT,

    /** No response arrived in time or the connection broke; the call may have taken effect. */
    NO_RESPONSE,

    /**
     * The other side closed the connection instead of answering; the call may have taken effect.
     */
    CONNECTION_CLOSED,

    /** The platform rejected the call; it had no effect. */
    REFUSED,

    /** The response could not be parsed; the call may have taken effect. */
    BAD_RESPONSE,

    /** A writer with a newer epoch has taken over; the call had no effect. */
    FENCED,

    /** An earlier append by the same writer has not arrived yet; the call had no effect. */
    OUT_OF_ORDER,

    /** The partition does not end at the expected offset; the call had no effect. */
    CONFLICT,

    /** The requested records are no longer retained. */
    TRIMMED
  }

  private static final int MAX_LENGTH = 400;

  private final Type type;

  /**
   * Creates an exception.
   *
   * @param type kind of failure
   * @param message the failed call, its target and the result; shortened if it is long
   */
  public PlatformException(Type type, String message) {
    super(Ascii.truncate(message, MAX_LENGTH, "..."));
    this.type = type;
  }

  /** Returns the kind of failure. */
  public Type type() {
    return type;
  }

  /** Returns whether the call may have taken effect; false if it certainly had no effect. */
  public boolean mayHaveTakenEffect() {
    return type == Type.NO_RESPONSE || type == Type.CONNECTION_CLOSED || type == Type.BAD_RESPONSE;
  }
}
