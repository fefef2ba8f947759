package org.hickorymoor.standins.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;

/** TCP server that echoes and counts the bytes that it receives. */
final class EchoServer {

  private static final int BUFFER_BYTES = 8_192;

  private final LongAdder receivedBytes = new LongAdder();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private ServerSocket listener;

  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    spawn(this::acceptAll);
  }

  void stop() throws IOException {
    listener.close();
    closeConnections();
  }

  void closeConnections() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  long receivedBytes() {
    return receivedBytes.sum();
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      sockets.add(socket);
      spawn(() -> echo(socket));
    }
  }

  private void echo(Socket socket) throws IOException {
    try (socket) {
      InputStream input = socket.getInputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      int count = input.read(buffer);
      while (count >= 0) {
        receivedBytes.add(count);
        socket.getOutputStream().write(buffer, 0, count);
        count = input.read(buffer);
      }
    }
  }

  @FunctionalInterface
  private interface Work {
    void run() throws IOException;
  }

  private static void spawn(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The peer or the test has closed the socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
