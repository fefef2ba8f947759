package org.hickorymoor.daemon.coordinator;

/** The other entry hosts of the failure domain, as seen by an election. Must be thread-safe. */
public interface ElectionPeers {

  /**
   * Returns whether a recent heartbeat shows another host as coordinator.
   *
   * @return true if another host recently reported that it is the coordinator
   */
  boolean coordinatorAlive();

  /**
   * Returns this host's rank among the live entry hosts.
   *
   * @return rank, starting at 0; a lower rank becomes a candidate earlier
   */
  int rank();
}
