package org.hickorymoor.standins.proxy;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class FaultProxyTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final int TIMEOUT_MS = 60_000;
  private static final int LARGE_BYTES = 2_000_000;

  private final EchoServer target = new EchoServer();
  private final List<Socket> clients = new ArrayList<>();
  private FaultProxy proxy;

  @BeforeEach
  void start() throws Exception {
    target.start();
    proxy = new FaultProxy(ProxySettings.to(target.address(), 7));
    proxy.start();
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket client : clients) {
      client.close();
    }
    proxy.stop();
    target.stop();
  }

  @Test
  void forwardsAndCountsBothDirections() throws Exception {
    assertThat(echo(connect(), 'x')).isEqualTo('x');

    await().atMost(TIMEOUT).until(() -> proxy.bytesToClient() == 1);
    assertThat(proxy.bytesToTarget()).isEqualTo(1);
  }

  @Test
  void delayAndJitterKeepBytesInOrder() throws Exception {
    proxy.setFaults(ProxyFaults.NONE.withDelay(2, 2).withJitter(5));
    byte[] sent = new byte[LARGE_BYTES];
    new Random(7).nextBytes(sent);
    Socket client = connect();

    CompletableFuture<Void> writing =
        CompletableFuture.runAsync(() -> writeAndShutDownOutput(client, sent));

    assertThat(client.getInputStream().readAllBytes()).isEqualTo(sent);
    writing.get();
  }

  @Test
  void cutResetsExistingAndNewConnections() throws Exception {
    Socket existing = connect();
    echo(existing, 'x');

    proxy.setFaults(ProxyFaults.NONE.withCut(true));

    assertThrows(IOException.class, () -> echo(existing, 'y'));
    assertThrows(IOException.class, () -> echo(connect(), 'y'));
    assertThat(target.receivedBytes()).isEqualTo(1);
    proxy.setFaults(ProxyFaults.NONE);
    assertThat(echo(connect(), 'z')).isEqualTo('z');
  }

  @Test
  void replyIsClosedOnlyAfterTargetReceivedTheRequest() throws Exception {
    proxy.setFaults(ProxyFaults.NONE.withReplies(ProxyFaults.Replies.CLOSE));

    assertThrows(IOException.class, () -> echo(connect(), 'x'));

    assertThat(target.receivedBytes()).isEqualTo(1);
    assertThat(proxy.bytesToClient()).isEqualTo(0);
  }

  @Test
  void connectionThatLostReplyStaysBlackholed() throws Exception {
    proxy.setFaults(ProxyFaults.NONE.withReplies(ProxyFaults.Replies.LOSE));
    Socket losing = connect();
    losing.getOutputStream().write('x');
    await().atMost(TIMEOUT).until(() -> proxy.lostBytes() == 1);

    proxy.setFaults(ProxyFaults.NONE);
    losing.getOutputStream().write('y');
    await().atMost(TIMEOUT).until(() -> proxy.lostBytes() == 2);

    assertThat(target.receivedBytes()).isEqualTo(2);
    assertThat(proxy.bytesToClient()).isEqualTo(0);
  }

  @Test
  void blackholedConnectionStaysBlackholedWhileNewOnesWork() throws Exception {
    Socket blackholed = connect();
    echo(blackholed, 'x');

    proxy.blackholeConnections();
    blackholed.getOutputStream().write('y');
    await().atMost(TIMEOUT).until(() -> proxy.lostBytes() == 1);

    assertThat(echo(connect(), 'z')).isEqualTo('z');
    assertThat(target.receivedBytes()).isEqualTo(2);
  }

  @Test
  void targetCloseIsNotPropagatedOnBlackholedConnection() throws Exception {
    echo(connect(), 'x');
    proxy.blackholeConnections();

    target.closeConnections();

    assertThat(echo(connect(), 'z')).isEqualTo('z');
    assertThat(proxy.connectionCount()).isEqualTo(2);
  }

  @Test
  void frozenProxyForwardsNothingUntilUnfrozen() throws Exception {
    Socket client = connect();
    echo(client, 'x');
    proxy.setFaults(ProxyFaults.NONE.withFrozen(true));
    client.getOutputStream().write('y');
    Socket late = connect();
    late.getOutputStream().write('z');
    assertThat(proxy.bytesToTarget()).isEqualTo(1);

    proxy.setFaults(ProxyFaults.NONE);

    assertThat(client.getInputStream().read()).isEqualTo('y');
    assertThat(late.getInputStream().read()).isEqualTo('z');
  }

  @Test
  void endOfInputIsPropagated() throws Exception {
    Socket client = connect();
    echo(client, 'x');

    client.shutdownOutput();

    assertThat(client.getInputStream().read()).isEqualTo(-1);
    await().atMost(TIMEOUT).until(() -> proxy.connectionCount() == 0);
  }

  @Test
  void unreachableTargetResetsClient() throws Exception {
    proxy.stop();
    // Bound but not listening: keeps the port from other processes and refuses connections.
    try (Socket reserved = new Socket()) {
      reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      proxy = new FaultProxy(ProxySettings.to("127.0.0.1:" + reserved.getLocalPort(), 7));
      proxy.start();

      assertThrows(IOException.class, () -> echo(connect(), 'x'));
    }
  }

  @Test
  void restartKeepsAddress() throws Exception {
    final String address = proxy.address();
    echo(connect(), 'x');

    proxy.stop();
    proxy.start();

    assertThat(proxy.address()).isEqualTo(address);
    assertThat(echo(connect(), 'y')).isEqualTo('y');
  }

  private Socket connect() throws IOException {
    int port = Integer.parseInt(proxy.address().substring(proxy.address().lastIndexOf(':') + 1));
    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
    client.setSoTimeout(TIMEOUT_MS);
    clients.add(client);
    return client;
  }

  private static int echo(Socket client, int value) throws IOException {
    client.getOutputStream().write(value);
    int answer = client.getInputStream().read();
    if (answer < 0) {
      throw new IOException("connection ended without an answer");
    }
    return answer;
  }

  private static void writeAndShutDownOutput(Socket client, byte[] bytes) {
    try {
      client.getOutputStream().write(bytes);
      client.shutdownOutput();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
