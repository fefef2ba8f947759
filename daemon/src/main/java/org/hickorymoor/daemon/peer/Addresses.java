package org.hickorymoor.daemon.peer;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Reads and writes {@code ip:port}. Names are not resolved, so nothing here blocks. */
final class Addresses {

  private Addresses() {}

  /**
   * Reads an address.
   *
   * @param address {@code ip:port}
   * @return the socket address
   * @throws IllegalArgumentException if it has another form
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
