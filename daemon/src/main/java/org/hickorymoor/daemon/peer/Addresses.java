package org.hickorymoor.daemon.peer;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses and formats {@code ip:port}. Accepts no host names, so no call blocks on a DNS lookup. */
final class Addresses {

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

  static String format(InetSocketAddress address) {
    String ip = InetAddresses.toAddrString(address.getAddress());
    return HostAndPort.fromParts(ip, address.getPort()).toString();
  }
}
