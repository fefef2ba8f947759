import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards connections, and can make those that are open go silent for good. */
final class Proxy {
  private final ServerSocket server = new ServerSocket();
  private final String target;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();

  private final class Link {
    final Socket client;
    final Socket upstream;
    volatile boolean silent;

    Link(Socket client, Socket upstream) {
      this.client = client;
      this.upstream = upstream;
    }

    void pump(Socket from, Socket to) {
      byte[] buffer = new byte[65_536];
      try {
        for (int n = from.getInputStream().read(buffer);
            n >= 0;
            n = from.getInputStream().read(buffer)) {
          if (!silent) {
            to.getOutputStream().write(buffer, 0, n);
            to.getOutputStream().flush();
          }
        }
      } catch (IOException e) {
        // Ends below.
      }
      if (silent && from == upstream) {
        return; // The client hears nothing of it.
      }
      links.remove(this);
      close(client);
      close(upstream);
    }
  }

  Proxy(String target) throws IOException {
    this.target = target;
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    Lab.daemonThread(this::accept).start();
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Makes the connections that are open now go silent; new ones work. Returns their number. */
  int silence() {
    int count = 0;
    for (Link link : links) {
      if (!link.silent) {
        link.silent = true;
        count++;
      }
    }
    return count;
  }

  /** Returns how many connections are open and work. */
  int open() {
    return (int) links.stream().filter(link -> !link.silent).count();
  }

  private void accept() {
    try {
      while (true) {
        Socket client = server.accept();
        client.setTcpNoDelay(true);
        Lab.daemonThread(() -> open(client)).start();
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void open(Socket client) {
    try {
      int colon = target.lastIndexOf(':');
      Socket upstream =
          new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
      upstream.setTcpNoDelay(true);
      Link link = new Link(client, upstream);
      links.add(link);
      Lab.daemonThread(() -> link.pump(upstream, client)).start();
      link.pump(client, upstream);
    } catch (IOException e) {
      close(client);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }
}
