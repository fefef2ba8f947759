package org.hickorymoor.daemon.cellconfig;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * Identity and timing of a host that follows the configuration.
 *
 * @param peerAddress ip:port at which peers call this host
 * @param seedAddresses ip:port of hosts that are asked before the hosts of the cell are known; may
 *     be stale
 * @param recordKey key of the configuration in its stream
 * @param applyMs time within which every host has a new version in force
 */
public record ConfigFollowerSettings(
    String peerAddress, List<String> seedAddresses, String recordKey, long applyMs) {

  /** Makes a defensive copy of the list and validates the range. */
  public ConfigFollowerSettings {
    seedAddresses = List.copyOf(seedAddresses);
    checkArgument(applyMs > 0, "applyMs must be above 0, got %s", applyMs);
  }
}
