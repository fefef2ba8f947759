package org.hickorymoor.daemon.peer;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses and formats {@code ip:port}. Accepts no host names, so no call blocks on a DNS lookup. */
public final class Addresses {

  /** Precedes the network interface in an IPv6 address, which only its own host knows. */
  private static final char ZONE_SEPARATOR = '%';

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @param address {@code ip:port}
   * @return the socket address
   * @throws IllegalArgumentException if the text is not of the form {@code ip:port}
   */
  static InetSocketAddress parse(String address) {
    HostAndPort parts = HostAndPort.fromString(address);
    if (!parts.hasPort()) {
      throw new IllegalArgumentException("expected ip:port, got " + address);
    }
    return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
  }

  /**
   * Returns whether an address can be called: an {@code ip:port} without a zone whose port is not
   * 0.
   *
   * @param address the address
   */
  public static boolean isCallable(String address) {
    try {
      return parse(address).getPort() > 0 && address.indexOf(ZONE_SEPARATOR) < 0;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  static String format(InetSocketAddress address) {
    String ip = InetAddresses.toAddrString(address.getAddress());
    return HostAndPort.fromParts(ip, address.getPort()).toString();
  }
}
