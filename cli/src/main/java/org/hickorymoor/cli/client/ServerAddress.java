package org.hickorymoor.cli.client;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import java.util.List;

/**
 * Address of the client HTTP API of an entry host.
 *
 * @param host IP address or host name
 * @param port TCP port
 */
public record ServerAddress(String host, int port) {

  private static final int MAX_PORT = 65_535;
  private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();

  /** Validates the host and the port. */
  public ServerAddress {
    checkArgument(!host.isEmpty(), "expected host:port, got no host");
    checkArgument(port >= 1 && port <= MAX_PORT, "expected a port from 1 to 65535, got %s", port);
  }

  /**
   * Parses a list such as {@code 10.0.0.1:7480,10.0.0.2:7480}.
   *
   * @param text comma-separated addresses
   * @return the distinct addresses, never empty
   * @throws IllegalArgumentException if an address is not {@code host:port} or the list is empty
   */
  public static List<ServerAddress> parseList(String text) {
    List<ServerAddress> addresses =
        COMMAS.splitToStream(text).map(ServerAddress::parse).distinct().toList();
    checkArgument(!addresses.isEmpty(), "expected host:port[,host:port...], got nothing");
    return addresses;
  }

  private static ServerAddress parse(String text) {
    HostAndPort address = HostAndPort.fromString(text);
    checkArgument(address.hasPort(), "expected host:port, got %s", text);
    return new ServerAddress(address.getHost(), address.getPort());
  }

  @Override
  public String toString() {
    return HostAndPort.fromParts(host, port).toString();
  }
}
