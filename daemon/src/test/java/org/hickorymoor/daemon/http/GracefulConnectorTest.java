package org.hickorymoor.daemon.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class GracefulConnectorTest {

  private static final String BODY = "0123456789";
  private static final String HEAD =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
  private static final String ANSWER_END = "answered";
  private static final int CLIENTS = 8;
  private static final int SOCKET_TIMEOUT_MS = 10_000;
  private static final long LONGER_THAN_IDLE_MS = 600;

  private final AtomicInteger handled = new AtomicInteger();
  private Server server;
  private GracefulConnector connector;
  private long answerDelayMs;

  @BeforeEach
  void start() throws Exception {
    server = new Server();
    connector = new GracefulConnector(server, "127.0.0.1", 0, 30_000);
    server.addConnector(connector);
    server.setHandler(new DelayedAnswer());
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.stop();
  }

  /** Reads the body and answers after a delay. */
  private final class DelayedAnswer extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      handled.incrementAndGet();
      RequestBodies.readText(request, 1_000)
          .thenAcceptAsync(
              body -> Content.Sink.write(response, true, ANSWER_END, callback),
              CompletableFuture.delayedExecutor(answerDelayMs, TimeUnit.MILLISECONDS));
      return true;
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort());
    socket.setSoTimeout(SOCKET_TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(US_ASCII));
  }

  /** Returns whether a whole answer arrives before the end of the connection. */
  private static boolean isAnswered(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder received = new StringBuilder();
    while (received.indexOf(ANSWER_END) < 0) {
      int next = in.read();
      if (next < 0) {
        return false;
      }
      received.append((char) next);
    }
    return true;
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitDrained() {
    await().atMost(10, TimeUnit.SECONDS).until(connector::isDrained);
  }

  // Guards against a connection that stays open, and whose next request gets no answer.
  @Test
  void idleConnectionIsClosedAndNoneIsAcceptedAfterwards() throws Exception {
    try (Socket open = connect()) {
      send(open, HEAD + BODY);
      assertThat(isAnswered(open)).isTrue();
      final int port = connector.getLocalPort();

      connector.drain();

      awaitDrained();
      assertThat(isAnswered(open)).isFalse();
      assertThrows(
          ConnectException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port));
    }
  }

  @Test
  void requestOnOpenConnectionIsAnsweredWhileDraining() throws Exception {
    answerDelayMs = LONGER_THAN_IDLE_MS;
    try (Socket open = connect()) {
      send(open, HEAD + BODY);
      assertThat(isAnswered(open)).isTrue();

      connector.drain();
      send(open, HEAD + BODY);

      assertThat(isAnswered(open)).isTrue();
      awaitDrained();
    }
  }

  @Test
  void requestWhoseBodyArrivesWhileDrainingIsAnswered() throws Exception {
    try (Socket open = connect()) {
      send(open, HEAD + BODY.substring(5));
      await().until(() -> handled.get() == 1);

      connector.drain();
      Thread.sleep(LONGER_THAN_IDLE_MS);
      send(open, BODY.substring(0, 5));

      assertThat(isAnswered(open)).isTrue();
      awaitDrained();
    }
  }

  @Test
  void connectionInTheAcceptQueueIsServed() throws Exception {
    CountDownLatch drainBegan = new CountDownLatch(1);
    connector
        .getSelectorManager()
        .getBean(ManagedSelector.class)
        .submit(selector -> awaitLatch(drainBegan));
    try (Socket queued = connect()) {
      send(queued, HEAD + BODY);
      CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS).execute(drainBegan::countDown);

      connector.drain();

      assertThat(isAnswered(queued)).isTrue();
      awaitDrained();
    }
  }

  // Guards against requests that are read between the last answer and the end of the process.
  @Test
  void noRequestIsReadOnceDrainedAndAllThatWereReadAreAnswered() throws Exception {
    answerDelayMs = 5;
    AtomicInteger answered = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Socket socket = connect();
      // The pauses of the clients lie around the time at which idle connections are closed.
      long pauseMs = 170 + 10L * i;
      Thread client = new Thread(() -> sendUntilClosed(socket, pauseMs, answered), "client");
      clients.add(client);
      client.start();
    }
    Thread.sleep(LONGER_THAN_IDLE_MS);

    connector.drain();
    awaitDrained();
    int handledWhenDrained = handled.get();
    for (Thread client : clients) {
      client.join();
    }

    assertThat(handled.get()).isEqualTo(handledWhenDrained);
    assertThat(answered.get()).isEqualTo(handledWhenDrained);
  }

  private static void sendUntilClosed(Socket socket, long pauseMs, AtomicInteger answered) {
    try (socket) {
      for (int sent = 0; sent < 40; sent++) {
        send(socket, HEAD + BODY);
        if (!isAnswered(socket)) {
          return;
        }
        answered.incrementAndGet();
        Thread.sleep(pauseMs);
      }
    } catch (IOException e) {
      // The server has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
