package org.hickorymoor.cli.client;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HttpTransportTest {

  private static final Call CALL = Call.get("/v1/cell", 0);

  private final HttpTransport transport = new HttpTransport("amina");

  @BeforeEach
  void start() throws Exception {
    transport.start();
  }

  @AfterEach
  void stop() {
    transport.stop();
  }

  private static ServerSocket listen() throws Exception {
    return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  private TransportException send(int port) {
    ServerAddress server = new ServerAddress("127.0.0.1", port);
    return assertThrows(TransportException.class, () -> transport.send(server, CALL));
  }

  @Test
  void refusedConnectionIsReportedAsNotSent() throws Exception {
    ServerSocket closed = listen();
    closed.close();

    assertThat(send(closed.getLocalPort()).maybeSent()).isFalse();
  }

  @Test
  void connectionLostBeforeResponseIsReportedAsMaybeSent() throws Exception {
    try (ServerSocket listener = listen()) {
      Thread server = new Thread(() -> readOneByteAndClose(listener));
      server.start();

      TransportException e = send(listener.getLocalPort());
      assertThat(e.maybeSent()).isTrue();
      assertThat(e).hasMessageThat().matches("connection lost \\([A-Za-z ]+\\)");
      server.join();
    }
  }

  private static void readOneByteAndClose(ServerSocket listener) {
    try (Socket socket = listener.accept()) {
      socket.getInputStream().read();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }
}
