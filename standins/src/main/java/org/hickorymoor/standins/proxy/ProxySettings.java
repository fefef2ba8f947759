package org.hickorymoor.standins.proxy;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link FaultProxy}.
 *
 * @param targetHost IP number that connections are forwarded to
 * @param targetPort port that connections are forwarded to
 * @param bindHost IP number to bind
 * @param port port to bind; 0 for any free one
 * @param seed seed of the jitter
 */
public record ProxySettings(
    String targetHost, int targetPort, String bindHost, int port, long seed) {

  private static final String LOOPBACK = "127.0.0.1";

  /** Checks the ranges. */
  public ProxySettings {
    checkArgument(targetPort > 0, "targetPort must be above 0, got %s", targetPort);
    checkArgument(port >= 0, "port must not be negative, got %s", port);
  }

  /**
   * Returns settings for any free port of the loopback.
   *
   * @param targetAddress {@code ip:port} that connections are forwarded to
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
