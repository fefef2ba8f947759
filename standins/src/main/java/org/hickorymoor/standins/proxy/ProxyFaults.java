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
 * @param jitterMs maximum random addition to a delay, drawn from a generator seeded by the proxy
 *     settings
 * @param cut whether existing connections are reset, and new ones right after they are accepted
 * @param frozen whether forwarding and accepting connections are suspended until this is cleared
 * @param replies handling of bytes received from the target
 */
public record ProxyFaults(
    long delayToTargetMs,
    long delayToClientMs,
    long jitterMs,
    boolean cut,
    boolean frozen,
    Replies replies) {

  /** No faults: the proxy forwards without delay. */
  public static final ProxyFaults NONE = new ProxyFaults(0, 0, 0, false, false, Replies.PASS);

  /** Validates the ranges. */
  public ProxyFaults {
    checkArgument(
        delayToTargetMs >= 0, "delayToTargetMs must not be negative, got %s", delayToTargetMs);
    checkArgument(
        delayToClientMs >= 0, "delayToClientMs must not be negative, got %s", delayToClientMs);
    checkArgument(jitterMs >= 0, "jitterMs must not be negative, got %s", jitterMs);
  }

  /** Handling of bytes received from the target. */
  public enum Replies {
    /** They are forwarded. */
    PASS,

    /** They are discarded and the connection is closed. */
    CLOSE,

    /**
     * They are discarded; the connection stays open, and discards all further bytes from the
     * target.
     */
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
   * @param ms maximum random addition to a delay
   * @return the changed faults
   */
  public ProxyFaults withJitter(long ms) {
    return new ProxyFaults(delayToTargetMs, delayToClientMs, ms, cut, frozen, replies);
  }

  /**
   * Returns these faults with connections cut or not.
   *
   * @param isCut whether connections are reset
   * @return the changed faults
   */
  public ProxyFaults withCut(boolean isCut) {
    return new ProxyFaults(delayToTargetMs, delayToClientMs, jitterMs, isCut, frozen, replies);
  }

  /**
   * Returns these faults with forwarding suspended or not.
   *
   * @param isFrozen whether forwarding is suspended
   * @return the changed faults
   */
  public ProxyFaults withFrozen(boolean isFrozen) {
    return new ProxyFaults(delayToTargetMs, delayToClientMs, jitterMs, cut, isFrozen, replies);
  }

  /**
   * Returns these faults with another handling of replies.
   *
   * @param handling handling of bytes received from the target
   * @return the changed faults
   */
  public ProxyFaults withReplies(Replies handling) {
    return new ProxyFaults(delayToTargetMs, delayToClientMs, jitterMs, cut, frozen, handling);
  }
}
