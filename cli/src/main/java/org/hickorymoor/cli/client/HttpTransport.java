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
 * Sends calls by HTTP/1.1.
 *
 * <p>A call that gets no whole reply within its wait and {@link #REPLY_TIMEOUT_MS} is given up and
 * its connection closed, so that the next call makes a new one. Safe for use by several threads
 * between {@link #start} and {@link #stop}.
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
   * Makes a transport.
   *
   * @param actor who acts, for the audit trail
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
   * Starts the threads.
   *
   * @throws TransportException if the client can't be started
   */
  public void start() throws TransportException {
    try {
      client.start();
    } catch (Exception e) {
      throw new TransportException("the HTTP client can't start: " + e.getMessage(), false);
    }
  }

  /** Closes every connection and ends the threads. */
  public void stop() {
    try {
      client.stop();
    } catch (Exception e) {
      // The process ends next and takes what is left with it.
    }
  }

  @Override
  public Reply send(ServerAddress server, Call call) throws TransportException {
    AtomicBoolean begun = new AtomicBoolean();
    Request request = request(server, call).onRequestBegin(ignored -> begun.set(true));
    try {
      ContentResponse response =
          requireNonNull(
              Uninterruptibles.getUninterruptibly(
                  new CompletableResponseListener(request, MAX_REPLY_BYTES).send()));
      String body = new String(response.getContent(), UTF_8);
      return new Reply(response.getStatus(), body, retryAfterMs(response));
    } catch (ExecutionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      throw new TransportException(describe(cause, begun.get()), begun.get());
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

  private static String describe(Throwable cause, boolean begun) {
    if (!begun) {
      return "no connection (" + detail(cause) + ")";
    }
    return cause instanceof TimeoutException
        ? "no answer in time"
        : "the connection broke (" + detail(cause) + ")";
  }

  /** Leaves out messages of the HTTP client, which show its inside at length. */
  private static String detail(Throwable cause) {
    boolean fromSystem = cause instanceof SocketException || cause instanceof UnknownHostException;
    return fromSystem ? String.valueOf(cause.getMessage()) : cause.getClass().getSimpleName();
  }
}
