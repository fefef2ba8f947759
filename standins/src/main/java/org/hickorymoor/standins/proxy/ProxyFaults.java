package org.hickorymoor.standins.proxy;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Faults of a {@link FaultProxy}.
 *
 * <pre>{@code
 * proxy.setFaults(ProxyFaults.NONE.withDelay(30, 30).withReplies(ProxyFaults.Replies.LOSE));
 * }</pre>
 *
 * @param delayToTargetMs delay of bytes towards the target
 * @param delayToClientMs delay of bytes towards the client
 * @param jitterMs most that is added to a delay, drawn from the seed of the proxy
 * @param cut whether existing connections are reset, and new ones as soon as they are made
 * @param frozen whether nothing moves, nor any new connection is served, until this is lifted
 * @param replies what becomes of bytes that come back from the target
 */
public record ProxyFaults(
    long delayToTargetMs,
    long delayToClientMs,
    long jitterMs,
    boolean cut,
    boolean frozen,
    Replies replies) {

  /** A proxy that forwards at once. */
  public static final ProxyFaults NONE = new ProxyFaults(0, 0, 0, false, false, Replies.PASS);

  /** Checks the ranges. */
  public ProxyFaults {
    checkArgument(
        delayToTargetMs >= 0, "delayToTargetMs must not be negative, got %s", delayToTargetMs);
    checkArgument(
        delayToClientMs >= 0, "delayToClientMs must not be negative, got %s", delayToClientMs);
    checkArgument(jitterMs >= 0, "jitterMs must not be negative, got %s", jitterMs);
  }

  /** What becomes of bytes that come back from the target. */
  public enum Replies {
    /** They are forwarded. */
    PASS,

    /** They are lost and the connection is closed. */
    CLOSE,

    /** They are lost; the connection stays open and brings nothing more from the target. */
    LOSE
  }

  /**
   * Returns these faults with other delays.
   *
   * @param toTargetMs delay of bytes towards the target
   * @param toClientMs delay of bytes towards the client
   * @return the changed faults
   */
  public ProxyFaults withDelay(long toTargetMs, long toClientMs) {
    return new ProxyFaults(toTargetMs, toClientMs, jitterMs, cut, frozen, replies);
  }

  /**
   * Returns these faults with another jitter.
   *
   * @param ms most that is added to a delay
   * @return the changed faults
   */
  public ProxyFaults withJitter(long ms) {
    return new ProxyFaults(delayToTargetMs, delayToClientMs, ms, cut, frozen, replies);
  }

  /**
   * Returns these faults, cut or not.
   *
   * @param isCut whether connections are reset
   * @return the changed faults
   */
  public ProxyFaults withCut(boolean isCut) {
    return new ProxyFaults(delayToTargetMs, delayToClientMs, jitterMs, isCut, frozen, replies);
  }

  /**
   * Returns these faults, frozen or not.
   *
   * @param isFrozen whether nothing moves
   * @return the changed faults
   */
  public ProxyFaults withFrozen(boolean isFrozen) {
    return new ProxyFaults(delayToTargetMs, delayToClientMs, jitterMs, cut, isFrozen, replies);
  }

  /**
   * Returns these faults with another fate of replies.
   *
   * @param fate what becomes of bytes that come back from the target
   * @return the changed faults
   */
  public ProxyFaults withReplies(Replies fate) {
    return new ProxyFaults(delayToTargetMs, delayToClientMs, jitterMs, cut, frozen, fate);
  }
}
