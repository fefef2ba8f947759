package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OutboundBudgetTest {

  private static final int FRAME_BYTES = 1 << 20;
  private static final PeerSettings SETTINGS =
      PeerFixture.settings().withLimits(1 << 21, 32 << 20, 10);

  private final PeerMetrics metrics = new PeerMetrics(new MetricRegistry(), "server");
  private final OutboundBudget budget = new OutboundBudget(16 * FRAME_BYTES);
  private final List<String> causes = new ArrayList<>();
  private ServerSocket acceptor;
  private EventLoop loop;

  @BeforeEach
  void open() throws IOException {
    acceptor = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    loop = new EventLoop("test", () -> {});
  }

  @AfterEach
  void close() throws IOException {
    loop.stop();
    acceptor.close();
  }

  @Test
  void connectionWithMostUnsentBytesIsClosed() throws IOException {
    Connection slow = connect();
    Connection other = connect();
    while (send(slow)) {
      assertThat(slow.isClosed()).isFalse();
    }

    assertThat(send(other)).isTrue();

    assertThat(slow.isClosed()).isTrue();
    assertThat(causes).hasSize(1);
    assertThat(slow.outboundBytes()).isEqualTo(0);
  }

  @Test
  void connectionWithMostUnsentBytesCannotReserveMore() throws IOException {
    Connection slow = connect();
    while (send(slow)) {
      assertThat(slow.outboundBytes()).isAtMost(16 * FRAME_BYTES);
    }

    assertThat(slow.isClosed()).isFalse();
  }

  private static boolean send(Connection connection) {
    Frame frame = new Frame(1, FrameKind.REPLY, 1, new byte[FRAME_BYTES]);
    return connection.send(frame, Purpose.LIST_JOBS) != null;
  }

  private Connection connect() throws IOException {
    SocketChannel channel = SocketChannel.open(acceptor.getLocalSocketAddress());
    channel.configureBlocking(false);
    Connection.Listener listener =
        new Connection.Listener() {
          @Override
          public void onFrame(Frame frame) {}

          @Override
          public void onClosed(String cause) {
            causes.add(cause);
          }
        };
    return new Connection(loop, channel, SETTINGS, metrics, budget, false, listener);
  }
}
