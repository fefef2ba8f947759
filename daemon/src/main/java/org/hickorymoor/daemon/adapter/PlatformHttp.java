package org.hickorymoor.daemon.adapter;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpStatus;
import org.hickorymoor.daemon.adapter.HttpCalls.Answer;
import org.hickorymoor.daemon.adapter.HttpCalls.Limits;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;

/**
 * Calls the platform over HTTP with JSON bodies.
 *
 * <p>Safe for use by several threads. Futures fail with a {@link PlatformException} only.
 */
public final class PlatformHttp {

  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
  private static final int MAX_CONNECTIONS_PER_TARGET = 16;
  private static final int MAX_QUEUED_PER_TARGET = 256;
  private static final long NEVER_IDLE_MS = 0;

  private final HttpCalls calls;
  private final Gson gson = new Gson();

  /**
   * Makes a client that is not started.
   *
   * @param connectTimeoutMs longest time to wait for a connection
   */
  public PlatformHttp(long connectTimeoutMs) {
    calls =
        new HttpCalls(
            new Limits(
                connectTimeoutMs,
                NEVER_IDLE_MS,
                MAX_CONNECTIONS_PER_TARGET,
                MAX_QUEUED_PER_TARGET,
                MAX_ANSWER_BYTES));
  }

  /**
   * Starts the client.
   *
   * @throws PlatformException if its threads can't be started
   */
  public void start() throws PlatformException {
    calls.start();
  }

  /** Stops the client; calls in flight fail. */
  public void stop() {
    calls.stop();
  }

  <T> CompletableFuture<T> get(String address, String path, Class<T> answer, long timeoutMs) {
    return read(calls.get(address, path, timeoutMs), address + path, answer);
  }

  <T> CompletableFuture<T> post(
      String address, String path, Object body, Class<T> answer, long timeoutMs) {
    byte[] content = gson.toJson(body).getBytes(UTF_8);
    return read(calls.post(address, path, content, Map.of(), timeoutMs), address + path, answer);
  }

  private <T> CompletableFuture<T> read(
      CompletableFuture<Answer> call, String from, Class<T> answer) {
    CompletableFuture<T> future = new CompletableFuture<>();
    var unused =
        call.whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                future.completeExceptionally(failure);
              } else {
                complete(future, reply, from, answer);
              }
            });
    return future;
  }

  private <T> void complete(
      CompletableFuture<T> future, Answer reply, String from, Class<T> answer) {
    if (reply.status() != HttpStatus.OK_200) {
      String message =
          "expected status 200 from " + from + ", got " + reply.status() + ": " + reply.text();
      future.completeExceptionally(new PlatformException(Type.REFUSED, message));
      return;
    }
    try {
      T value = gson.fromJson(reply.text(), answer);
      if (value == null) {
        throw new JsonParseException("empty answer");
      }
      future.complete(value);
    } catch (RuntimeException e) {
      String message = "expected a JSON answer from " + from + ", got: " + reply.text();
      future.completeExceptionally(new PlatformException(Type.BAD_RESPONSE, message));
    }
  }
}
