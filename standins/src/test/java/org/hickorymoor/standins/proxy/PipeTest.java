package org.hickorymoor.standins.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PipeTest {

  private final LongAdder forwardedBytes = new LongAdder();
  private final LongAdder lostBytes = new LongAdder();
  private final ByteBuffer buffer = ByteBuffer.allocate(64);
  private SocketChannel writer;
  private SocketChannel source;
  private Pipe pipe;

  @BeforeEach
  void start() throws Exception {
    try (ServerSocketChannel listener = ServerSocketChannel.open()) {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      writer = SocketChannel.open(listener.getLocalAddress());
      source = listener.accept();
    }
    pipe = new Pipe(source, source, forwardedBytes, lostBytes);
  }

  @AfterEach
  void stop() throws Exception {
    writer.close();
    source.close();
  }

  @Test
  void bytesAreHeldUntilDue() throws Exception {
    send("abc");
    pipe.read(buffer, 100);

    pipe.write(99);
    assertThat(forwardedBytes.sum()).isEqualTo(0);
    assertThat(pipe.nextDueMs()).isEqualTo(100);

    pipe.write(100);
    assertThat(forwardedBytes.sum()).isEqualTo(3);
  }

  @Test
  void shorterDelayDoesNotReorder() throws Exception {
    send("abc");
    pipe.read(buffer, 100);
    send("de");
    pipe.read(buffer, 50);

    pipe.write(99);
    assertThat(forwardedBytes.sum()).isEqualTo(0);
  }

  @Test
  void blackholedPipeDiscardsQueuedAndFurtherData() throws Exception {
    send("abc");
    pipe.read(buffer, 0);
    pipe.blackhole();
    send("de");
    pipe.read(buffer, 0);

    pipe.write(1_000);
    assertThat(forwardedBytes.sum()).isEqualTo(0);
    assertThat(lostBytes.sum()).isEqualTo(5);
  }

  @Test
  void blackholedPipeDoesNotPropagateEndOfInput() throws Exception {
    pipe.blackhole();
    writer.close();

    pipe.read(buffer, 0);
    pipe.write(1_000);

    assertThat(pipe.wantsRead()).isFalse();
    assertThat(source.socket().isOutputShutdown()).isFalse();
  }

  private void send(String text) throws Exception {
    writer.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }
}
