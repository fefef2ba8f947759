package org.hickorymoor.daemon.peer;

import static java.util.Objects.requireNonNull;

/**
 * Where a peer listens and where it stands, so that traffic is counted per link.
 *
 * @param address ip:port of its peer interface
 * @param domain its failure domain
 * @param region its region
 */
public record PeerAddress(String address, String domain, String region) {

  /** Rejects absent parts. */
  public PeerAddress {
    requireNonNull(address, "address");
    requireNonNull(domain, "domain");
    requireNonNull(region, "region");
  }
}
