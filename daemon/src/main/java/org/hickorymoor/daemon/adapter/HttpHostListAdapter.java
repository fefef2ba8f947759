package org.hickorymoor.daemon.adapter;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.HostListPort;
import org.hickorymoor.protocol.platform.HostList;

/** Reads the platform's host list over HTTP. Safe for use by several threads. */
public final class HttpHostListAdapter implements HostListPort {

  private final PlatformHttp http;
  private final String address;

  /**
   * Makes the adapter.
   *
   * @param http client to call with, started and stopped by its owner
   * @param address ip:port of the host list service
   */
  public HttpHostListAdapter(PlatformHttp http, String address) {
    this.http = http;
    this.address = address;
  }

  @Override
  public CompletableFuture<HostList> hosts(long timeoutMs) {
    return http.get(address, "/v1/hosts", HostList.class, timeoutMs);
  }
}
