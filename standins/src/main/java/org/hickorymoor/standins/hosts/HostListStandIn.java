package org.hickorymoor.standins.hosts;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.standins.http.Exchange;
import org.hickorymoor.standins.http.HttpService;
import org.hickorymoor.standins.http.MalformedRequestException;

/**
 * A simulated host list whose changes become visible after a delay.
 *
 * <pre>{@code
 * HostListStandIn hosts = new HostListStandIn(HostListSettings.withLagMs(2_000));
 * hosts.putVisible(entry);
 * hosts.start();
 * hosts.remove(entry.hostId());
 * // ... still listed at hosts.address() for two seconds ...
 * }</pre>
 *
 * <p>Implements the host list API of {@code docs/PLATFORM.md} and, for tests, {@code PUT
 * /v1/hosts/{hostId}} with a {@link HostEntry} and {@code DELETE /v1/hosts/{hostId}}. Hosts and
 * address survive a stop and restart. Thread-safe.
 */
public final class HostListStandIn {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final String HOSTS = "/v1/hosts";
  private static final int STATUS_NOT_FOUND = 404;

  private final LaggingHosts hosts;
  private final HttpService http;

  /**
   * Creates the list without starting it.
   *
   * @param settings its settings
   */
  public HostListStandIn(HostListSettings settings) {
    this.hosts = new LaggingHosts(() -> NANOSECONDS.toMillis(System.nanoTime()), settings.lagMs());
    this.http = new HttpService("hosts", settings.bindHost(), settings.port(), this::handle);
  }

  /**
   * Starts serving.
   *
   * @throws IOException if the port can't be bound
   */
  public void start() throws IOException {
    http.start();
    logger.atFine().log("hosts: serves at %s", http.address());
  }

  /** Stops serving and keeps the hosts. No-op if the list is not running. */
  public void stop() {
    http.stop();
  }

  /**
   * Returns the address at which the list serves.
   *
   * @return {@code ip:port}
   */
  public String address() {
    return http.address();
  }

  /**
   * Adds or replaces a host and makes it visible immediately, with all pending changes.
   *
   * @param entry the host
   */
  public void putVisible(HostEntry entry) {
    hosts.putVisible(entry);
  }

  /**
   * Adds or replaces a host, which becomes visible after the lag.
   *
   * @param entry the host
   */
  public void put(HostEntry entry) {
    hosts.put(entry);
  }

  /**
   * Removes a host; the removal becomes visible after the lag.
   *
   * @param hostId id of the host
   * @return whether the host was present
   */
  public boolean remove(String hostId) {
    return hosts.remove(hostId);
  }

  /**
   * Returns the hosts that are visible to readers now.
   *
   * @return the visible hosts
   */
  public HostList visible() {
    return hosts.visible();
  }

  private void handle(Exchange exchange) throws MalformedRequestException {
    String path = exchange.path();
    if (exchange.target().equals("GET " + HOSTS)) {
      exchange.reply(visible());
    } else if (path.startsWith(HOSTS + "/") && exchange.method().equals("PUT")) {
      handlePut(path.substring(HOSTS.length() + 1), exchange);
    } else if (path.startsWith(HOSTS + "/") && exchange.method().equals("DELETE")) {
      exchange.reply(new Removed(remove(path.substring(HOSTS.length() + 1))));
    } else {
      exchange.replyError(
          STATUS_NOT_FOUND,
          "not_found",
          "expected a path of the host list API, got " + exchange.target());
    }
  }

  private void handlePut(String hostId, Exchange exchange) throws MalformedRequestException {
    HostEntry entry = exchange.body(HostEntry.class);
    if (!hostId.equals(entry.hostId())) {
      throw new MalformedRequestException(
          "expected the hostId of the path, " + hostId + ", in the body, got " + entry.hostId());
    }
    put(entry);
    exchange.reply(entry);
  }

  /** Body of the reply to a removal. */
  private record Removed(boolean known) {}
}
