package org.hickorymoor.daemon.adapter;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickorymoor.daemon.adapter.AsyncHttpClient.Limits;
import org.hickorymoor.daemon.adapter.AsyncHttpClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Open connections to a server go silent while new ones work. Guards against calls that try one
 * silent connection after the other, each for a whole timeout.
 */
final class SilentConnectionsTest {

  private static final long PATIENCE_MS = 10_000;
  private static final long SHORT_TIMEOUT_MS = 300;
  private static final long ACCEPT_MS = 200;
  private static final int MAX_CONNECTIONS = 24;

  /** Answers each request, on connections that have not gone silent. */
  private static final class Server implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private volatile boolean silenceAll;
    private final AtomicInteger accepted = new AtomicInteger();

    /** Holds back answers until this many requests have arrived, so that each has a connection. */
    private volatile CountDownLatch requests = new CountDownLatch(0);

    Server() throws IOException {
      startThread(this::accept);
    }

    private static void startThread(Runnable task) {
      Thread thread = new Thread(task, "silent-connections-server");
      thread.setDaemon(true);
      thread.start();
    }

    private void accept() {
      try {
        while (true) {
          Socket connection = socket.accept();
          accepted.incrementAndGet();
          open.add(connection);
          startThread(() -> serve(connection));
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        BufferedReader in =
            new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (!line.isEmpty()) {
            continue;
          }
          CountDownLatch awaited = requests;
          awaited.countDown();
          if (silenceAll || silent.contains(connection)) {
            continue;
          }
          awaited.await();
          connection
              .getOutputStream()
              .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
        }
      } catch (IOException | InterruptedException e) {
        // Closed by the client.
      }
      open.remove(connection);
    }

    /** The client may open a connection more than it uses, which the server accepts later. */
    void awaitAccepted() throws InterruptedException {
      Thread.sleep(ACCEPT_MS);
    }

    void silenceOpenConnections() throws InterruptedException {
      awaitAccepted();
      silent.addAll(open);
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      socket.close();
      for (Socket connection : open) {
        connection.close();
      }
    }
  }

  private final AsyncHttpClient client =
      new AsyncHttpClient(new Limits(PATIENCE_MS, 0, MAX_CONNECTIONS, 64, 1_000));
  private Server server;

  @BeforeEach
  void start() throws Exception {
    server = new Server();
    client.start();
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  private boolean isAnswered(long timeoutMs) throws Exception {
    return isAnswered(client.get(server.address(), "/", timeoutMs));
  }

  private static boolean isAnswered(CompletableFuture<Response> call) throws Exception {
    return call.handle((response, failure) -> failure == null)
        .get(PATIENCE_MS, TimeUnit.MILLISECONDS);
  }

  private void openConnections(int count) throws Exception {
    server.requests = new CountDownLatch(count);
    List<CompletableFuture<Response>> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      calls.add(client.get(server.address(), "/", PATIENCE_MS));
    }
    for (CompletableFuture<Response> call : calls) {
      assertThat(call.get(PATIENCE_MS, TimeUnit.MILLISECONDS).status()).isEqualTo(200);
    }
    server.requests = new CountDownLatch(0);
    server.awaitAccepted();
    assertThat(server.accepted.get()).isAtLeast(count);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8, MAX_CONNECTIONS})
  void oneTimeoutShowsThatAllConnectionsAreSilent(int connections) throws Exception {
    openConnections(connections);
    server.silenceOpenConnections();

    assertThat(isAnswered(SHORT_TIMEOUT_MS)).isFalse();
    assertThat(isAnswered(PATIENCE_MS)).isTrue();
  }

  @Test
  void concurrentCallsCostOneTimeoutTogether() throws Exception {
    openConnections(MAX_CONNECTIONS);
    server.silenceOpenConnections();
    List<CompletableFuture<Response>> calls = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS / 2; i++) {
      calls.add(client.get(server.address(), "/", SHORT_TIMEOUT_MS));
    }
    for (CompletableFuture<Response> call : calls) {
      assertThat(isAnswered(call)).isFalse();
    }

    assertThat(isAnswered(PATIENCE_MS)).isTrue();
  }

  @Test
  void connectionsMayGoSilentAgain() throws Exception {
    openConnections(4);
    for (int round = 0; round < 3; round++) {
      server.silenceOpenConnections();
      assertThat(isAnswered(SHORT_TIMEOUT_MS)).isFalse();
      assertThat(isAnswered(PATIENCE_MS)).isTrue();
    }
  }

  /** Guards against calls that are never completed, neither answered nor failed. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 40})
  void callsToServerThatAnswersNothingFailInTime(int concurrentCalls) throws Exception {
    openConnections(2);
    server.silenceAll = true;
    for (int round = 0; round < 6; round++) {
      List<CompletableFuture<Response>> calls = new ArrayList<>();
      for (int i = 0; i < concurrentCalls; i++) {
        calls.add(client.get(server.address(), "/", SHORT_TIMEOUT_MS));
      }
      for (CompletableFuture<Response> call : calls) {
        assertThat(isAnswered(call)).isFalse();
      }
    }
    server.silenceAll = false;

    assertThat(isAnswered(PATIENCE_MS)).isTrue();
  }

  /** Guards against a lost answer that closes the connections which go on answering. */
  @Test
  void connectionsThatHaveAnsweredSinceAreReused() throws Exception {
    openConnections(3);
    int connections = server.accepted.get();
    Socket lost = server.open.iterator().next();
    server.silent.add(lost);
    server.requests = new CountDownLatch(connections);
    List<CompletableFuture<Response>> calls = new ArrayList<>();
    for (int i = 0; i < connections; i++) {
      calls.add(client.get(server.address(), "/", SHORT_TIMEOUT_MS));
    }
    int answered = 0;
    for (CompletableFuture<Response> call : calls) {
      answered += isAnswered(call) ? 1 : 0;
    }
    assertThat(answered).isEqualTo(connections - 1);

    assertThat(isAnswered(PATIENCE_MS)).isTrue();
    assertThat(isAnswered(PATIENCE_MS)).isTrue();
    assertThat(server.accepted.get()).isEqualTo(connections);
  }
}
