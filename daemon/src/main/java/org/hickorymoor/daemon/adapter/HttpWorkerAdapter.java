package org.hickorymoor.daemon.adapter;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.WorkerPort;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.protocol.platform.WorkerInfo;

/** Sends commands to workers over HTTP. Thread-safe. */
public final class HttpWorkerAdapter implements WorkerPort {

  private final JsonHttpClient http;

  /**
   * Creates an adapter.
   *
   * @param http HTTP client; started and stopped by its owner
   */
  public HttpWorkerAdapter(JsonHttpClient http) {
    this.http = http;
  }

  @Override
  public CompletableFuture<WorkerInfo> info(String address, long timeoutMs) {
    return http.get(address, "/v1/info", WorkerInfo.class, timeoutMs);
  }

  @Override
  public CompletableFuture<CommandReply> start(
      String address, StartCommand command, long timeoutMs) {
    return http.post(address, "/v1/start", command, CommandReply.class, timeoutMs);
  }

  @Override
  public CompletableFuture<SyncReply> sync(String address, SyncCommand command, long timeoutMs) {
    return http.post(address, "/v1/sync", command, SyncReply.class, timeoutMs);
  }

  @Override
  public CompletableFuture<CommandReply> stop(String address, TaskCommand command, long timeoutMs) {
    return http.post(address, "/v1/stop", command, CommandReply.class, timeoutMs);
  }

  @Override
  public CompletableFuture<CommandReply> throttle(
      String address, TaskCommand command, long timeoutMs) {
    return http.post(address, "/v1/throttle", command, CommandReply.class, timeoutMs);
  }

  @Override
  public CompletableFuture<CommandReply> checkpoint(
      String address, TaskCommand command, long timeoutMs) {
    return http.post(address, "/v1/checkpoint", command, CommandReply.class, timeoutMs);
  }
}
