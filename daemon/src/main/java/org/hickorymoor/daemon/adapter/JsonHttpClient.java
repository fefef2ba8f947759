package org.hickorymoor.daemon.adapter;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpStatus;
import org.hickorymoor.daemon.adapter.AsyncHttpClient.Limits;
import org.hickorymoor.daemon.adapter.AsyncHttpClient.Response;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;

/**
 * HTTP client for calls with JSON bodies.
 *
 * <p>Futures fail only with {@link PlatformException}. Thread-safe.
 */
public final class JsonHttpClient {

  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
  private static final int MAX_CONNECTIONS_PER_TARGET = 16;
  private static final int MAX_QUEUED_PER_TARGET = 256;
  private static final long NO_IDLE_TIMEOUT_MS = 0;

  private final AsyncHttpClient client;
  private final Gson gson = new Gson();

  /**
   * Creates a client; call {@link #start} before use.
   *
   * @param connectTimeoutMs maximum time to establish a connection
   */
  public JsonHttpClient(long connectTimeoutMs) {
    client =
        new AsyncHttpClient(
            new Limits(
                connectTimeoutMs,
                NO_IDLE_TIMEOUT_MS,
                MAX_CONNECTIONS_PER_TARGET,
                MAX_QUEUED_PER_TARGET,
                MAX_RESPONSE_BYTES));
  }

  /**
   * Starts the client.
   *
   * @throws PlatformException if the client cannot be started
   */
  public void start() throws PlatformException {
    client.start();
  }

  /** Stops the client; pending calls fail. */
  public void stop() {
    client.stop();
  }

  <T> CompletableFuture<T> get(String address, String path, Class<T> type, long timeoutMs) {
    return read(client.get(address, path, timeoutMs), address + path, type);
  }

  <T> CompletableFuture<T> post(
      String address, String path, Object body, Class<T> type, long timeoutMs) {
    byte[] content = gson.toJson(body).getBytes(UTF_8);
    return read(client.post(address, path, content, Map.of(), timeoutMs), address + path, type);
  }

  private <T> CompletableFuture<T> read(
      CompletableFuture<Response> call, String from, Class<T> type) {
    CompletableFuture<T> future = new CompletableFuture<>();
    var unused =
        call.whenComplete(
            (response, failure) -> {
              if (failure != null) {
                future.completeExceptionally(failure);
              } else {
                complete(future, response, from, type);
              }
            });
    return future;
  }

  private <T> void complete(
      CompletableFuture<T> future, Response response, String from, Class<T> type) {
    if (response.status() != HttpStatus.OK_200) {
      String message =
          "expected status 200 from "
              + from
              + ", got "
              + response.status()
              + ": "
              + response.text();
      future.completeExceptionally(new PlatformException(Type.REFUSED, message));
      return;
    }
    try {
      T value = gson.fromJson(response.text(), type);
      if (value == null) {
        throw new JsonParseException("empty response");
      }
      future.complete(value);
    } catch (RuntimeException e) {
      String message = "expected a JSON response from " + from + ", got: " + response.text();
      future.completeExceptionally(new PlatformException(Type.BAD_RESPONSE, message));
    }
  }
}
