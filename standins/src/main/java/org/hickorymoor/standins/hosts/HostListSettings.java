package org.hickorymoor.standins.hosts;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link HostListStandIn}.
 *
 * @param lagMs delay until a change becomes visible
 * @param bindHost IP address to bind
 * @param port port to bind; 0 for an ephemeral port
 */
public record HostListSettings(long lagMs, String bindHost, int port) {

  private static final String LOOPBACK = "127.0.0.1";

  /** Validates the ranges. */
  public HostListSettings {
    checkArgument(lagMs >= 0, "lagMs must not be negative, got %s", lagMs);
    checkArgument(port >= 0, "port must not be negative, got %s", port);
  }

  /**
   * Returns settings for an ephemeral port on the loopback interface.
   *
   * @param lagMs delay until a change becomes visible
   * @return the settings
   */
  public static HostListSettings withLagMs(long lagMs) {
    return new HostListSettings(lagMs, LOOPBACK, 0);
  }
}
