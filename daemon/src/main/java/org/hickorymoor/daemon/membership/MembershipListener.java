package org.hickorymoor.daemon.membership;

/**
 * Receives every change of a host's condition.
 *
 * <p>Called by several threads, without a lock held. Must not block.
 */
@FunctionalInterface
public interface MembershipListener {

  /**
   * Called after a change.
   *
   * @param change host with its previous and new condition
   */
  void onChange(MembershipChange change);
}
