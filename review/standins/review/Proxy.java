package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** A TCP proxy on one loopback port that can close, refuse or silence connections. */
final class Proxy {

  private static final int BACKLOG = 512;
  private static final int BUFFER_BYTES = 65_536;
  private static final int FIRST_PORT = 10_000;
  private static final int PORTS = 9_000;
  private static final int MAX_ATTEMPTS = 50;

  private final int port;
  private final Set<Socket> sockets = new HashSet<>();
  private final Set<Socket> silent = new HashSet<>();
  private ServerSocket listener;
  private int targetPort;

  /**
   * Takes a port below those that the system gives to outgoing connections, so that none of these
   * takes it while the proxy refuses connections.
   */
  Proxy() throws IOException {
    int chosen = 0;
    for (int attempt = 0; attempt < MAX_ATTEMPTS && chosen == 0; attempt++) {
      int candidate = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
      try {
        bind(candidate).close();
        chosen = candidate;
      } catch (BindException e) {
        continue; // Taken: the next attempt.
      }
    }
    if (chosen == 0) {
      throw new IOException("no free port");
    }
    port = chosen;
  }

  int port() {
    return port;
  }

  private static ServerSocket bind(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName(Http.LOOPBACK), port), BACKLOG);
    return socket;
  }

  /** Accepts connections and forwards them to a port. */
  synchronized void open(int newTargetPort) throws IOException {
    targetPort = newTargetPort;
    listener = bind(port);
    ServerSocket accepting = listener;
    Http.THREADS.execute(() -> accept(accepting));
  }

  /** Accepts connections again and forwards them to the same port as before. */
  synchronized void reopen() throws IOException {
    open(targetPort);
  }

  /** Closes all connections and refuses new ones; what runs behind the proxy goes on. */
  synchronized void refuse() {
    close(listener);
    sockets.forEach(Proxy::close);
    sockets.clear();
  }

  /** Lets the open connections go silent for good, without a reset; new ones work. */
  synchronized int silenceOpen() {
    silent.addAll(sockets);
    return sockets.size() / 2;
  }

  private synchronized boolean isSilent(Socket socket) {
    return silent.contains(socket);
  }

  private void accept(ServerSocket accepting) {
    while (true) {
      try {
        Socket client = accepting.accept();
        Socket server = new Socket(Http.LOOPBACK, targetPort);
        client.setTcpNoDelay(true);
        server.setTcpNoDelay(true);
        synchronized (this) {
          if (accepting.isClosed()) {
            close(client);
            close(server);
            return;
          }
          sockets.add(client);
          sockets.add(server);
        }
        Http.THREADS.execute(() -> forward(client, server));
        Http.THREADS.execute(() -> forward(server, client));
      } catch (IOException e) {
        if (accepting.isClosed()) {
          return;
        }
      }
    }
  }

  private void forward(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!isSilent(from)) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // The other direction sees the closed sockets.
    }
    close(from);
    close(to);
    synchronized (this) {
      sockets.remove(from);
      sockets.remove(to);
      silent.remove(from);
      silent.remove(to);
    }
  }

  private static void close(AutoCloseable socket) {
    try {
      socket.close();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
