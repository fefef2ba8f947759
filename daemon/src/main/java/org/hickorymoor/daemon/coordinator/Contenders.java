package org.hickorymoor.daemon.coordinator;

/**
 * What is known of the other entry hosts of the failure domain. Implementations are thread-safe.
 */
public interface Contenders {

  /**
   * Tells whether another host is coordinator, as far as heartbeats say.
   *
   * @return true if one said so a short time ago
   */
  boolean coordinatorAlive();

  /**
   * Returns the place of this host among the live entry hosts.
   *
   * @return 0 for the first
   */
  int rank();
}
