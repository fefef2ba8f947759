package org.hickorymoor.daemon.membership;

/**
 * Told of every change of a host's condition.
 *
 * <p>Called by several threads, without a lock held; it must not block.
 */
@FunctionalInterface
public interface MembershipListener {

  /**
   * Takes one change.
   *
   * @param change what changed
   */
  void onChange(MembershipChange change);
}
