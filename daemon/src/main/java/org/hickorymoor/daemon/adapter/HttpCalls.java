package org.hickorymoor.daemon.adapter;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.jspecify.annotations.Nullable;

/**
 * Calls the platform and workers over HTTP; the one client of a process.
 *
 * <p>A call that is not answered in time closes its connection, so that a silent connection is not
 * used again. Safe for use by several threads. Futures fail with a {@link PlatformException} only;
 * an answer of any status completes them.
 */
public final class HttpCalls {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_THREADS = 6;
  private static final int MIN_THREADS = 2;
  private static final int SELECTORS = 1;

  /**
   * How far the client goes.
   *
   * @param connectTimeoutMs longest time to wait for a connection
   * @param idleMs an unused connection is closed after this time; 0 for never
   * @param connectionsPerTarget most connections to one address
   * @param queuedPerTarget most calls that wait for a connection to one address
   * @param answerBytes largest answer
   */
  public record Limits(
      long connectTimeoutMs,
      long idleMs,
      int connectionsPerTarget,
      int queuedPerTarget,
      int answerBytes) {}

  /**
   * An answer.
   *
   * @param status HTTP status
   * @param body content
   */
  public record Answer(int status, byte[] body) {

    /** Returns the content as text. */
    public String text() {
      return new String(body, UTF_8);
    }
  }

  private final HttpClient client;
  private final int answerBytes;

  /**
   * Makes a client that is not started.
   *
   * @param limits how far it goes
   */
  public HttpCalls(Limits limits) {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(SELECTORS);
    client = new HttpClient(new HttpClientTransportOverHTTP(connector));
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
    answerBytes = limits.answerBytes();
  }

  /**
   * Starts the client.
   *
   * @throws PlatformException if its threads can't be started
   */
  public void start() throws PlatformException {
    try {
      client.start();
      client.getContentDecoderFactories().clear();
    } catch (Exception e) {
      throw new PlatformException(Type.UNREACHABLE, "HTTP client did not start: " + e);
    }
  }

  /** Stops the client; calls in flight fail. */
  public void stop() {
    try {
      client.stop();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("client: Stop failed.");
    }
  }

  /**
   * Sends a GET.
   *
   * @param address ip:port
   * @param pathAndQuery what to ask for
   * @param timeoutMs time for the whole call
   * @return the answer
   */
  public CompletableFuture<Answer> get(String address, String pathAndQuery, long timeoutMs) {
    return send(HttpMethod.GET, address, pathAndQuery, null, Map.of(), timeoutMs);
  }

  /**
   * Sends a POST.
   *
   * @param address ip:port
   * @param pathAndQuery what to ask for
   * @param body content
   * @param headers header fields beside the usual ones
   * @param timeoutMs time for the whole call
   * @return the answer
   */
  public CompletableFuture<Answer> post(
      String address,
      String pathAndQuery,
      byte[] body,
      Map<String, String> headers,
      long timeoutMs) {
    return send(HttpMethod.POST, address, pathAndQuery, body, headers, timeoutMs);
  }

  private CompletableFuture<Answer> send(
      HttpMethod method,
      String address,
      String pathAndQuery,
      byte @Nullable [] body,
      Map<String, String> headers,
      long timeoutMs) {
    final CompletableFuture<Answer> future = new CompletableFuture<>();
    String url = "http://" + address + pathAndQuery;
    Request request = client.newRequest(url).method(method);
    headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
    if (body != null) {
      request.body(new BytesRequestContent("application/json", body));
    }
    request.timeout(timeoutMs, TimeUnit.MILLISECONDS);
    request.send(
        new BufferingResponseListener(answerBytes) {
          @Override
          public void onComplete(Result result) {
            if (result.isFailed()) {
              future.completeExceptionally(failure(url, result.getFailure()));
              return;
            }
            byte[] content = getContent();
            future.complete(
                new Answer(
                    result.getResponse().getStatus(), content == null ? new byte[0] : content));
          }
        });
    return future;
  }

  private static PlatformException failure(String url, @Nullable Throwable cause) {
    Type type = cause instanceof ConnectException ? Type.UNREACHABLE : Type.NO_RESPONSE;
    return new PlatformException(type, "no answer from " + url + ": " + cause);
  }
}
