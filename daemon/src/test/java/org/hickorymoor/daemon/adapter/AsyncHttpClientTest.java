package org.hickorymoor.daemon.adapter;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.adapter.AsyncHttpClient.Limits;
import org.hickorymoor.daemon.adapter.AsyncHttpClient.Response;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class AsyncHttpClientTest {

  private static final long TIMEOUT_MS = 10_000;
  private static final int MAX_RESPONSE_BYTES = 1_000;

  private final AsyncHttpClient client =
      new AsyncHttpClient(new Limits(TIMEOUT_MS, 0, 1, 1, MAX_RESPONSE_BYTES));
  private ServerSocket server;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    client.start();
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  private CompletableFuture<Response> post(int bytes, long timeoutMs) {
    return client.post(
        "127.0.0.1:" + server.getLocalPort(), "/", new byte[bytes], Map.of(), timeoutMs);
  }

  private static Type failure(CompletableFuture<Response> call) throws Exception {
    return call.handle((response, failure) -> ((PlatformException) failure).type())
        .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Guards against calls that wait for a connection and are taken for possibly executed. */
  @Test
  void callWithoutConnectionIsNotSent() throws Exception {
    final CompletableFuture<Response> first = post(1, 2_000);
    try (Socket accepted = server.accept()) {
      assertThat(accepted.getInputStream().read()).isAtLeast(0);
      CompletableFuture<Response> queued = post(1, 300);
      CompletableFuture<Response> beyondQueue = post(1, 300);

      assertThat(failure(beyondQueue)).isEqualTo(Type.NOT_SENT);
      assertThat(failure(queued)).isEqualTo(Type.NOT_SENT);
      assertThat(failure(first)).isEqualTo(Type.NO_RESPONSE);
    }
  }

  /**
   * Guards against an unknown outcome where an overloaded server refuses a call without reading its
   * body, and the connection breaks before the whole answer has arrived.
   */
  @Test
  void refusalIsKnownThoughTheConnectionBreaks() throws Exception {
    final CompletableFuture<Response> call = post(30_000_000, TIMEOUT_MS);
    try (Socket accepted = server.accept()) {
      assertThat(accepted.getInputStream().read()).isAtLeast(0);
      accepted
          .getOutputStream()
          .write("HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\n".getBytes(US_ASCII));
      accepted.getOutputStream().flush();
      // Time for the header to arrive before the reset that closing with unread input causes.
      Thread.sleep(200);
    }

    assertThat(call.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).status()).isEqualTo(503);
  }
}
