package org.hickorymoor.daemon.peer;

import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/**
 * Thrown when a call to a peer yields no usable reply.
 *
 * <p>Only {@link Type#UNREACHABLE} and {@link Type#OVERLOADED} guarantee that the request was not
 * executed.
 */
public final class PeerException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Kind of failure. */
  public enum Type {
    /** The request was not sent completely, so it was not executed. */
    UNREACHABLE,

    /** Timeout or closed connection before a reply; the request may have been executed. */
    NO_RESPONSE,

    /** The reply could not be decoded or sent; the request may have been executed. */
    BAD_RESPONSE,

    /** Too many calls to the peer are in flight; the request was not sent. */
    OVERLOADED
  }

  private final Type type;

  /**
   * Creates the exception.
   *
   * @param type kind of failure
   * @param message details, with the address of the peer
   */
  public PeerException(Type type, String message) {
    super(message);
    this.type = type;
  }

  /**
   * Returns the kind of failure.
   *
   * @return the type
   */
  public Type type() {
    return type;
  }

  /**
   * Returns whether the request may have been executed.
   *
   * @return false if it is certain that the request was not executed
   */
  public boolean mayHaveTakenEffect() {
    return type == Type.NO_RESPONSE || type == Type.BAD_RESPONSE;
  }

  /**
   * Returns whether a call failed because no connection to the peer could be made.
   *
   * @param failure failure of the call, possibly wrapped; null if it did not fail
   * @return true if the peer certainly did not receive the request
   */
  public static boolean isUnreachable(@Nullable Throwable failure) {
    return unwrap(failure) instanceof PeerException known && known.type() == Type.UNREACHABLE;
  }

  /**
   * Returns whether a failed call may have been executed.
   *
   * @param failure failure of the call, possibly wrapped
   * @return false if it is certain that the request was not executed
   */
  public static boolean mayHaveReachedPeer(@Nullable Throwable failure) {
    return !(unwrap(failure) instanceof PeerException known) || known.mayHaveTakenEffect();
  }

  private static @Nullable Throwable unwrap(@Nullable Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }
}
