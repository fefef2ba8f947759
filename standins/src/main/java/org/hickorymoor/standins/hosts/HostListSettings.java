package org.hickorymoor.standins.hosts;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link HostListStandIn}.
 *
 * @param lagMs time after which a change becomes visible
 * @param bindHost IP number to bind
 * @param port port to bind; 0 for any free one
 */
public record HostListSettings(long lagMs, String bindHost, int port) {

  private static final String LOOPBACK = "127.0.0.1";

  /** Checks the ranges. */
  public HostListSettings {
    checkArgument(lagMs >= 0, "lagMs must not be negative, got %s", lagMs);
    checkArgument(port >= 0, "port must not be negative, got %s", port);
  }

  /**
   * Returns settings for any free port of the loopback.
   *
   * @param lagMs time after which a change becomes visible
   * @return the settings
   */
  public static HostListSettings withLagMs(long lagMs) {
    return new HostListSettings(lagMs, LOOPBACK, 0);
  }
}
