package org.hickorymoor.daemon.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy that can silently drop the data of existing connections while new ones work. */
final class TcpProxy {

  private final InetSocketAddress target;
  private final ServerSocket acceptor;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<Socket> blackholed = ConcurrentHashMap.newKeySet();

  TcpProxy(String target) throws IOException {
    this.target = Addresses.parse(target);
    this.acceptor = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + acceptor.getLocalPort();
  }

  /** Discards all data on the existing connections; writes to them still succeed. */
  void blackholeExistingConnections() {
    blackholed.addAll(sockets);
  }

  void close() {
    closeQuietly(acceptor);
    sockets.forEach(TcpProxy::closeQuietly);
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket client = acceptor.accept();
        Socket upstream = new Socket(target.getAddress(), target.getPort());
        sockets.add(client);
        sockets.add(upstream);
        startThread(() -> forward(client, upstream));
        startThread(() -> forward(upstream, client));
      }
    } catch (IOException e) {
      closeQuietly(acceptor);
    }
  }

  private void forward(Socket from, Socket to) {
    byte[] buffer = new byte[8_192];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (!blackholed.contains(from)) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      closeQuietly(from);
    }
    if (!blackholed.contains(from)) {
      closeQuietly(to);
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "tcp-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      // Errors on close are irrelevant to the tests; sockets may be closed twice.
    }
  }
}
