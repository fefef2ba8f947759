package org.hickorymoor.standins.proxy;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link FaultProxy}.
 *
 * @param targetHost IP address of the target
 * @param targetPort port of the target
 * @param bindHost IP address to bind
 * @param port port to bind; 0 for an ephemeral port
 * @param seed seed of the jitter
 */
public record ProxySettings(
    String targetHost, int targetPort, String bindHost, int port, long seed) {

  private static final String LOOPBACK = "127.0.0.1";

  /** Validates the ranges. */
  public ProxySettings {
    checkArgument(targetPort > 0, "targetPort must be above 0, got %s", targetPort);
    checkArgument(port >= 0, "port must not be negative, got %s", port);
  }

  /**
   * Returns settings for an ephemeral port on the loopback interface.
   *
   * @param targetAddress {@code ip:port} of the target
   * @param seed seed of the jitter
   * @return the settings
   */
  public static ProxySettings to(String targetAddress, long seed) {
    int colon = targetAddress.lastIndexOf(':');
    checkArgument(colon > 0, "expected ip:port as the target address, got %s", targetAddress);
    int targetPort = Integer.parseInt(targetAddress.substring(colon + 1));
    return new ProxySettings(targetAddress.substring(0, colon), targetPort, LOOPBACK, 0, seed);
  }
}
