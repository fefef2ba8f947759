package org.hickorymoor.daemon.adapter;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.HostListPort;
import org.hickorymoor.protocol.platform.HostList;

/** Reads the platform's host list over HTTP. Thread-safe. */
public final class HttpHostListAdapter implements HostListPort {

  private final JsonHttpClient http;
  private final String address;

  /**
   * Creates an adapter.
   *
   * @param http HTTP client; started and stopped by its owner
   * @param address ip:port of the host list service
   */
  public HttpHostListAdapter(JsonHttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  @Override
  public CompletableFuture<HostList> hosts(long timeoutMs) {
    return http.get(address, "/v1/hosts", HostList.class, timeoutMs);
  }
}
