package org.hickorymoor.protocol.platform;

import java.util.List;

/**
 * The platform's list of hosts, which may be out of date.
 *
 * @param hosts all known hosts
 */
public record HostList(List<HostEntry> hosts) {
  /** Copies the list. */
  public HostList {
    hosts = List.copyOf(hosts);
  }
}
