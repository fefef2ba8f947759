package org.hickorymoor.daemon.peer;

import static java.util.Objects.requireNonNull;

/**
 * Address and location of a peer. The location is used to count traffic per link.
 *
 * @param address ip:port of its peer interface
 * @param domain its failure domain
 * @param region its region
 */
public record PeerAddress(String address, String domain, String region) {

  /** Rejects null components. */
  public PeerAddress {
    requireNonNull(address, "address");
    requireNonNull(domain, "domain");
    requireNonNull(region, "region");
  }
}
