package org.hickorymoor.daemon.adapter;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.LogPort;
import org.hickorymoor.protocol.platform.AppendCommand;
import org.hickorymoor.protocol.platform.AppendReply;
import org.hickorymoor.protocol.platform.ReadReply;

/** Accesses the platform's log over HTTP. Thread-safe. */
public final class HttpLogAdapter implements LogPort {

  private final JsonHttpClient http;
  private final String address;

  /**
   * Creates an adapter.
   *
   * @param http HTTP client; started and stopped by its owner
   * @param address ip:port of the log service
   */
  public HttpLogAdapter(JsonHttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  @Override
  public CompletableFuture<Long> append(String stream, String data, long timeoutMs) {
    return http.post(
            address,
            path(stream) + "/append",
            new AppendCommand(data),
            AppendReply.class,
            timeoutMs)
        .thenApply(AppendReply::offset);
  }

  @Override
  public CompletableFuture<ReadReply> read(
      String stream, long fromOffset, int maxRecords, long waitMs, long timeoutMs) {
    String query = "?from=" + fromOffset + "&max=" + maxRecords + "&waitMs=" + waitMs;
    return http.get(address, path(stream) + query, ReadReply.class, timeoutMs);
  }

  private static String path(String stream) {
    return "/v1/streams/" + stream;
  }
}
