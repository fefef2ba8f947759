package org.hickorymoor.daemon.config;

import org.hickorymoor.daemon.stream.FollowerStatus;

/**
 * How far this host has caught up with the configuration stream.
 *
 * @param ready whether it has caught up at least once since it started
 * @param complete whether its state has no gap, that is, covers every record up to the last one
 *     read
 * @param appliedOffset offset up to which every record is applied
 * @param log status of the stream's follower
 */
public record ConfigStatus(
    boolean ready, boolean complete, long appliedOffset, FollowerStatus log) {

  /**
   * Returns whether this host should fetch the state of a peer.
   *
   * @return true if the log is unavailable or the state has a gap
   */
  public boolean needsPeerRecords() {
    return !complete || log.state() == FollowerStatus.State.OUT;
  }
}
