package org.hickorymoor.cli.client;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import java.util.List;

/**
 * Where an entry host serves the caller's HTTP interface.
 *
 * @param host IP number or name
 * @param port TCP port
 */
public record ServerAddress(String host, int port) {

  private static final int MAX_PORT = 65_535;
  private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();

  /** Checks the range of the port. */
  public ServerAddress {
    checkArgument(!host.isEmpty(), "expected host:port, got no host");
    checkArgument(port >= 1 && port <= MAX_PORT, "expected a port from 1 to 65535, got %s", port);
  }

  /**
   * Reads a list such as {@code 10.0.0.1:7480,10.0.0.2:7480}.
   *
   * @param text addresses, separated by commas
   * @return at least one address
   * @throws IllegalArgumentException if one of them is not {@code host:port} or there is none
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
