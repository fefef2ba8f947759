package org.hickorymoor.cli.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.primitives.Longs;
import com.google.common.util.concurrent.Uninterruptibles;
import java.net.SocketException;
import java.net.UnknownHostException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Sends calls over HTTP/1.1.
 *
 * <p>A call that gets no complete response within its wait time plus {@link #REPLY_TIMEOUT_MS} is
 * aborted and its connection closed, so that the next call opens a new one. Thread-safe between
 * {@link #start} and {@link #stop}.
 */
public final class HttpTransport implements Transport {

  private static final long CONNECT_TIMEOUT_MS = 3_000;
  private static final long REPLY_TIMEOUT_MS = 10_000;
  private static final long MS_PER_SECOND = 1_000;
  private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;
  private static final int MAX_THREADS = 8;
  private static final String ACTOR_HEADER = "Hickorymoor-Actor";

  private final HttpClient client;
  private final String actor;

  /**
   * Creates a transport; {@link #start} must be called before it is used.
   *
   * @param actor name recorded in the audit trail
   */
  public HttpTransport(String actor) {
    this.actor = actor;
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
    threads.setName("http");
    threads.setDaemon(true);
    client = new HttpClient(new HttpClientTransportOverHTTP(1));
    client.setExecutor(threads);
    client.setConnectTimeout(CONNECT_TIMEOUT_MS);
    client.setFollowRedirects(false);
    client.setUserAgentField(new HttpField(HttpHeader.USER_AGENT, "hickorymoor"));
  }

  /**
   * Starts the HTTP client.
   *
   * @throws TransportException if the client fails to start
   */
  public void start() throws TransportException {
    try {
      client.start();
    } catch (Exception e) {
      throw new TransportException("failed to start the HTTP client: " + e.getMessage(), false);
    }
  }

  /** Closes all connections and stops the threads of the client. */
  public void stop() {
    try {
      client.stop();
    } catch (Exception e) {
      // Ignored, since the process exits next, which releases all resources.
    }
  }

  @Override
  public Reply send(ServerAddress server, Call call) throws TransportException {
    AtomicBoolean requestStarted = new AtomicBoolean();
    Request request = request(server, call).onRequestBegin(ignored -> requestStarted.set(true));
    try {
      ContentResponse response =
          requireNonNull(
              Uninterruptibles.getUninterruptibly(
                  new CompletableResponseListener(request, MAX_REPLY_BYTES).send()));
      String body = new String(response.getContent(), UTF_8);
      return new Reply(response.getStatus(), body, retryAfterMs(response));
    } catch (ExecutionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      throw new TransportException(describe(cause, requestStarted.get()), requestStarted.get());
    }
  }

  private Request request(ServerAddress server, Call call) {
    Request request =
        client
            .newRequest("http://" + server + call.path())
            .method(call.method())
            .timeout(call.waitMs() + REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .idleTimeout(call.waitMs() + REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .headers(headers -> headers.put(ACTOR_HEADER, actor));
    if (call.body() != null) {
      request.body(new StringRequestContent("application/json", call.body(), UTF_8));
    }
    return request;
  }

  private static long retryAfterMs(ContentResponse response) {
    String seconds = response.getHeaders().get(HttpHeader.RETRY_AFTER);
    Long value = seconds == null ? null : Longs.tryParse(seconds);
    return value == null || value < 0 ? 0 : value * MS_PER_SECOND;
  }

  private static String describe(Throwable cause, boolean requestStarted) {
    if (!requestStarted) {
      return "failed to connect (" + detail(cause) + ")";
    }
    return cause instanceof TimeoutException
        ? "response timed out"
        : "connection lost (" + detail(cause) + ")";
  }

  /** Omits messages of the HTTP client, which are long and contain its internal state. */
  private static String detail(Throwable cause) {
    boolean fromSystem = cause instanceof SocketException || cause instanceof UnknownHostException;
    return fromSystem ? String.valueOf(cause.getMessage()) : cause.getClass().getSimpleName();
  }
}
