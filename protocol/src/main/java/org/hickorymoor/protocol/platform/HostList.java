package org.hickorymoor.protocol.platform;

import java.util.List;

/**
 * The platform's list of hosts, which lags.
 *
 * @param hosts all hosts known
 */
public record HostList(List<HostEntry> hosts) {
  /** Copies the list. */
  public HostList {
    hosts = List.copyOf(hosts);
  }
}
