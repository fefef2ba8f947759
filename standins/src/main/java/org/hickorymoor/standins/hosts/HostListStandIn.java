package org.hickorymoor.standins.hosts;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.standins.http.Exchange;
import org.hickorymoor.standins.http.HttpService;
import org.hickorymoor.standins.http.MalformedCallException;

/**
 * A list of hosts whose changes become visible late.
 *
 * <pre>{@code
 * HostListStandIn hosts = new HostListStandIn(HostListSettings.withLagMs(2_000));
 * hosts.putVisible(entry);
 * hosts.start();
 * hosts.remove(entry.hostId());
 * // ... still listed at hosts.address() for two seconds ...
 * }</pre>
 *
 * <p>It speaks the host list part of {@code docs/PLATFORM.md}, and for tests {@code PUT
 * /v1/hosts/{hostId}} with a {@link HostEntry} and {@code DELETE /v1/hosts/{hostId}}. A stop keeps
 * the hosts; a later start has the same address. Safe for use by several threads.
 */
public final class HostListStandIn {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final String HOSTS = "/v1/hosts";
  private static final int STATUS_NOT_FOUND = 404;

  private final LaggingHosts hosts;
  private final HttpService http;

  /**
   * Makes the list without starting it.
   *
   * @param settings its settings
   */
  public HostListStandIn(HostListSettings settings) {
    this.hosts = new LaggingHosts(() -> NANOSECONDS.toMillis(System.nanoTime()), settings.lagMs());
    this.http = new HttpService("hosts", settings.bindHost(), settings.port(), this::handle);
  }

  /**
   * Starts to serve.
   *
   * @throws IOException if the port can't be bound
   */
  public void start() throws IOException {
    http.start();
    logger.atFine().log("hosts: serves at %s", http.address());
  }

  /** Stops serving and keeps the hosts. Does nothing if the list does not run. */
  public void stop() {
    http.stop();
  }

  /**
   * Returns where the list is reached.
   *
   * @return {@code ip:port}
   */
  public String address() {
    return http.address();
  }

  /**
   * Sets a host that readers see at once, with all changes before it.
   *
   * @param entry the host
   */
  public void putVisible(HostEntry entry) {
    hosts.putVisible(entry);
  }

  /**
   * Sets a host that readers see after the lag.
   *
   * @param entry the host
   */
  public void put(HostEntry entry) {
    hosts.put(entry);
  }

  /**
   * Removes a host, which readers see after the lag.
   *
   * @param hostId name of the host
   * @return whether the host was known
   */
  public boolean remove(String hostId) {
    return hosts.remove(hostId);
  }

  /**
   * Returns what readers see now.
   *
   * @return the lagging list
   */
  public HostList visible() {
    return hosts.visible();
  }

  private void handle(Exchange exchange) throws MalformedCallException {
    String path = exchange.path();
    if (exchange.target().equals("GET " + HOSTS)) {
      exchange.reply(visible());
    } else if (path.startsWith(HOSTS + "/") && exchange.method().equals("PUT")) {
      handlePut(path.substring(HOSTS.length() + 1), exchange);
    } else if (path.startsWith(HOSTS + "/") && exchange.method().equals("DELETE")) {
      exchange.reply(new Removed(remove(path.substring(HOSTS.length() + 1))));
    } else {
      exchange.refuse(
          STATUS_NOT_FOUND,
          "not_found",
          "expected a call of the host list, got " + exchange.target());
    }
  }

  private void handlePut(String hostId, Exchange exchange) throws MalformedCallException {
    HostEntry entry = exchange.body(HostEntry.class);
    if (!hostId.equals(entry.hostId())) {
      throw new MalformedCallException(
          "expected the hostId of the path, " + hostId + ", in the body, got " + entry.hostId());
    }
    put(entry);
    exchange.reply(entry);
  }

  /** Answer to a removal. */
  private record Removed(boolean known) {}
}
