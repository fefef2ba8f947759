package org.hickorymoor.daemon.config;

import org.hickorymoor.daemon.stream.FollowerStatus;

/**
 * How well this host knows the configuration.
 *
 * @param ready whether it has known the newest configuration since its start
 * @param complete whether it misses no record of the stream
 * @param appliedOffset offset up to which every record is applied
 * @param log where the follower of the stream stands
 */
public record ConfigStatus(
    boolean ready, boolean complete, long appliedOffset, FollowerStatus log) {

  /**
   * Tells whether a peer's records are wanted.
   *
   * @return true if the log can't be read or records are missed
   */
  public boolean wantsOffers() {
    return !complete || log.state() == FollowerStatus.State.OUT;
  }
}
