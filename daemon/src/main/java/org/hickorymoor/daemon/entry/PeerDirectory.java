package org.hickorymoor.daemon.entry;

import java.util.Optional;

/** Looks up the entry hosts that requests can be sent to. Implementations are thread-safe. */
public interface PeerDirectory {

  /**
   * Returns the address of the coordinator of this failure domain.
   *
   * @return ip:port of its peer interface, or empty if it is not known or is this host
   */
  Optional<String> coordinatorAddress();

  /**
   * Returns the address of an entry host of another failure domain.
   *
   * @param domain name of the failure domain
   * @return ip:port of the host's peer interface, or empty if no entry host of the domain is known
   */
  Optional<String> entryAddressIn(String domain);

  /**
   * Returns whether a host is known as another entry host of this failure domain.
   *
   * @param hostId id of the host
   * @return false also if the host is not known or is this host
   */
  boolean isDomainEntryHost(String hostId);
}
