package org.hickorymoor.daemon.adapter;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.jspecify.annotations.Nullable;

/**
 * Calls the platform over HTTP with JSON bodies.
 *
 * <p>A call that is not answered in time closes its connection, so the next call opens a fresh one.
 * Safe for use by several threads. Futures fail with a {@link PlatformException} only.
 */
public final class PlatformHttp {

  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
  private static final int MAX_THREADS = 6;
  private static final int MIN_THREADS = 2;
  private static final int SELECTORS = 1;
  private static final int MAX_CONNECTIONS_PER_TARGET = 16;
  private static final int MAX_QUEUED_PER_TARGET = 256;

  private final HttpClient client;
  private final Gson gson = new Gson();

  /**
   * Makes a client that is not started.
   *
   * @param connectTimeoutMs longest time to wait for a connection
   */
  public PlatformHttp(long connectTimeoutMs) {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(SELECTORS);
    client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("platform");
    threads.setReservedThreads(0);
    client.setExecutor(threads);
    client.setConnectTimeout(connectTimeoutMs);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_TARGET);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_TARGET);
    client.setFollowRedirects(false);
  }

  /**
   * Starts the client.
   *
   * @throws PlatformException if its threads can't be started
   */
  public void start() throws PlatformException {
    try {
      client.start();
    } catch (Exception e) {
      throw new PlatformException(Type.UNREACHABLE, "HTTP client did not start: " + e);
    }
  }

  /** Stops the client; calls in flight fail. */
  public void stop() {
    try {
      client.stop();
    } catch (Exception e) {
      Thread.currentThread().interrupt();
    }
  }

  <T> CompletableFuture<T> get(String address, String path, Class<T> answer, long timeoutMs) {
    return send(HttpMethod.GET, address, path, null, answer, timeoutMs);
  }

  <T> CompletableFuture<T> post(
      String address, String path, Object body, Class<T> answer, long timeoutMs) {
    return send(HttpMethod.POST, address, path, gson.toJson(body), answer, timeoutMs);
  }

  private <T> CompletableFuture<T> send(
      HttpMethod method,
      String address,
      String path,
      @Nullable String body,
      Class<T> answer,
      long timeoutMs) {
    CompletableFuture<T> future = new CompletableFuture<>();
    String url = "http://" + address + path;
    Request request = client.newRequest(url).method(method);
    if (body != null) {
      request.body(new StringRequestContent("application/json", body, UTF_8));
    }
    request.timeout(timeoutMs, TimeUnit.MILLISECONDS);
    request.send(
        new BufferingResponseListener(MAX_ANSWER_BYTES) {
          @Override
          public void onComplete(Result result) {
            complete(future, result, url, getContentAsString(UTF_8), answer);
          }
        });
    return future;
  }

  private <T> void complete(
      CompletableFuture<T> future,
      Result result,
      String url,
      @Nullable String content,
      Class<T> answer) {
    if (result.isFailed()) {
      future.completeExceptionally(failure(url, result.getFailure()));
      return;
    }
    int status = result.getResponse().getStatus();
    if (status != HttpStatus.OK_200) {
      String message = "expected status 200 from " + url + ", got " + status + ": " + content;
      future.completeExceptionally(new PlatformException(Type.REFUSED, message));
      return;
    }
    try {
      T value = gson.fromJson(content, answer);
      if (value == null) {
        throw new JsonParseException("empty answer");
      }
      future.complete(value);
    } catch (RuntimeException e) {
      String message = "expected a JSON answer from " + url + ", got: " + content;
      future.completeExceptionally(new PlatformException(Type.BAD_ANSWER, message));
    }
  }

  private static PlatformException failure(String url, @Nullable Throwable cause) {
    boolean unsent = cause instanceof ConnectException;
    Type type = unsent ? Type.UNREACHABLE : Type.NO_ANSWER;
    return new PlatformException(type, "no answer from " + url + ": " + cause);
  }
}
