package org.hickorymoor.daemon.entry;

import java.util.Optional;

/** Knows where other hosts are. Implementations are thread-safe. */
public interface PeerDirectory {

  /**
   * Returns where the coordinator of this failure domain is.
   *
   * @return ip:port of its peer interface, or empty if none is known or this host is it
   */
  Optional<String> coordinatorAddress();

  /**
   * Returns where another failure domain can be reached.
   *
   * @param domain the failure domain
   * @return ip:port of the peer interface of one of its entry hosts, or empty if none is known
   */
  Optional<String> entryAddressIn(String domain);

  /**
   * Tells whether a host is an entry host of this failure domain.
   *
   * @param hostId the host
   * @return true if it is known as one
   */
  boolean isDomainEntryHost(String hostId);
}
