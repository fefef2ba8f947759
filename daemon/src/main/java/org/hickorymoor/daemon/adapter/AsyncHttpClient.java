package org.hickorymoor.daemon.adapter;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.io.EOFException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.jspecify.annotations.Nullable;

/**
 * Asynchronous HTTP client for calls to the platform and to workers. A process uses one instance.
 *
 * <p>A call that times out closes its connection, and other connections to the same address that
 * have not answered since it was sent are not reused, so that unresponsive connections cost one
 * timeout together. Futures complete with a response of any status, and fail only with {@link
 * PlatformException}. Thread-safe.
 */
public final class AsyncHttpClient {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_THREADS = 6;
  private static final int MIN_THREADS = 2;
  private static final int SELECTORS = 1;

  /**
   * Limits of a client.
   *
   * @param connectTimeoutMs maximum time to establish a connection
   * @param idleMs time after which an unused connection is closed; 0 for never
   * @param connectionsPerTarget maximum number of connections to one address
   * @param queuedPerTarget maximum number of calls that wait for a connection to one address
   * @param maxResponseBytes maximum size of a response body
   */
  public record Limits(
      long connectTimeoutMs,
      long idleMs,
      int connectionsPerTarget,
      int queuedPerTarget,
      int maxResponseBytes) {}

  /**
   * A response.
   *
   * @param status HTTP status
   * @param body response body
   */
  public record Response(int status, byte[] body) {

    /** Returns the body decoded as UTF-8. */
    public String text() {
      return new String(body, UTF_8);
    }
  }

  private final HttpClient client;
  private final int maxResponseBytes;

  /**
   * Creates a client; call {@link #start} before use.
   *
   * @param limits limits of the client
   */
  public AsyncHttpClient(Limits limits) {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(SELECTORS);
    HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
    transport.setConnectionPoolFactory(
        destination -> new ExpiringConnectionPool(destination, limits.connectionsPerTarget()));
    client = new HttpClient(transport);
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("platform");
    threads.setReservedThreads(0);
    client.setExecutor(threads);
    client.setConnectTimeout(limits.connectTimeoutMs());
    client.setIdleTimeout(limits.idleMs());
    client.setMaxConnectionsPerDestination(limits.connectionsPerTarget());
    client.setMaxRequestsQueuedPerDestination(limits.queuedPerTarget());
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    maxResponseBytes = limits.maxResponseBytes();
  }

  /**
   * Starts the client.
   *
   * @throws PlatformException if the client cannot be started
   */
  public void start() throws PlatformException {
    try {
      client.start();
      client.getContentDecoderFactories().clear();
    } catch (Exception e) {
      throw new PlatformException(Type.UNREACHABLE, "HTTP client failed to start: " + e);
    }
  }

  /** Stops the client; pending calls fail. */
  public void stop() {
    try {
      client.stop();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("client: HTTP client failed to stop.");
    }
  }

  /**
   * Sends a GET request.
   *
   * @param address ip:port
   * @param pathAndQuery path and query of the request
   * @param timeoutMs timeout of the whole call
   * @return the response
   */
  public CompletableFuture<Response> get(String address, String pathAndQuery, long timeoutMs) {
    return send(HttpMethod.GET, address, pathAndQuery, null, Map.of(), timeoutMs);
  }

  /**
   * Sends a POST request.
   *
   * @param address ip:port
   * @param pathAndQuery path and query of the request
   * @param body request body
   * @param headers additional header fields
   * @param timeoutMs timeout of the whole call
   * @return the response
   */
  public CompletableFuture<Response> post(
      String address,
      String pathAndQuery,
      byte[] body,
      Map<String, String> headers,
      long timeoutMs) {
    return send(HttpMethod.POST, address, pathAndQuery, body, headers, timeoutMs);
  }

  private CompletableFuture<Response> send(
      HttpMethod method,
      String address,
      String pathAndQuery,
      byte @Nullable [] body,
      Map<String, String> headers,
      long timeoutMs) {
    final CompletableFuture<Response> future = new CompletableFuture<>();
    String url = "http://" + address + pathAndQuery;
    Request request;
    try {
      request = client.newRequest(url).method(method);
    } catch (IllegalArgumentException e) {
      // Addresses come from records of others.
      future.completeExceptionally(
          new PlatformException(Type.UNREACHABLE, "expected ip:port, got " + address + ": " + e));
      return future;
    }
    headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
    if (body != null) {
      request.body(new BytesRequestContent("application/json", body));
    }
    request.timeout(timeoutMs, TimeUnit.MILLISECONDS);
    AtomicReference<@Nullable Long> sentNs = new AtomicReference<>();
    request.onRequestBegin(sending -> sentNs.set(System.nanoTime()));
    request.send(
        new BufferingResponseListener(maxResponseBytes) {
          @Override
          public void onComplete(Result result) {
            if (result.isFailed()) {
              completeFailed(future, url, result, sentNs.get());
              return;
            }
            byte[] content = getContent();
            future.complete(
                new Response(
                    result.getResponse().getStatus(), content == null ? new byte[0] : content));
          }
        });
    return future;
  }

  /** Completes a call that failed, which an overloaded target may have refused before. */
  private void completeFailed(
      CompletableFuture<Response> future, String url, Result result, @Nullable Long sentNs) {
    int status = result.getResponse() == null ? 0 : result.getResponse().getStatus();
    if (status == HttpStatus.TOO_MANY_REQUESTS_429
        || status == HttpStatus.SERVICE_UNAVAILABLE_503) {
      // An overloaded target may refuse a call and close the connection without reading its body.
      // The status alone says that nothing was done.
      future.complete(new Response(status, new byte[0]));
    } else {
      if (sentNs != null && result.getFailure() instanceof TimeoutException) {
        onUnanswered(result.getRequest(), sentNs);
      }
      future.completeExceptionally(failure(url, result.getFailure(), sentNs != null));
    }
  }

  private void onUnanswered(Request request, long sentNs) {
    if (client.resolveDestination(request).getConnectionPool()
        instanceof ExpiringConnectionPool pool) {
      pool.onUnanswered(sentNs);
    }
  }

  /** Returns whether a call was given up while it waited for a connection, or at once. */
  private static boolean isWaitOver(@Nullable Throwable cause) {
    return cause instanceof TimeoutException
        || cause instanceof SocketTimeoutException
        || cause instanceof RejectedExecutionException;
  }

  private static PlatformException failure(String url, @Nullable Throwable cause, boolean begun) {
    Type type = Type.NO_RESPONSE;
    if (cause instanceof ConnectException) {
      type = Type.UNREACHABLE;
    } else if (cause instanceof EOFException) {
      type = Type.CONNECTION_CLOSED;
    } else if (!begun && isWaitOver(cause)) {
      type = Type.NOT_SENT;
    }
    return new PlatformException(type, "no response from " + url + ": " + cause);
  }
}
