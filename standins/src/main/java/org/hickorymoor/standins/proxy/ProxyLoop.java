package org.hickorymoor.standins.proxy;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The event loop of a proxy, which forwards all data on a single thread.
 *
 * <p>All methods but {@link #execute} and {@link #stop} must be called on that thread.
 */
final class ProxyLoop implements Runnable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int BUFFER_BYTES = 64 * 1024;

  private final InetSocketAddress targetAddress;
  private final ServerSocketChannel listener;
  private final Selector selector;
  private final Object selectorLock = new Object();
  private final SelectionKey listenerKey;
  private final Random random;
  private final ByteCounters counters;
  private final ConcurrentLinkedQueue<Runnable> commands = new ConcurrentLinkedQueue<>();
  private final Set<ProxiedConnection> connections = new LinkedHashSet<>();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
  private ProxyFaults faults;
  private volatile boolean stopped;

  ProxyLoop(
      ProxySettings settings,
      ServerSocketChannel listener,
      ProxyFaults faults,
      ByteCounters counters)
      throws IOException {
    this.targetAddress = new InetSocketAddress(settings.targetHost(), settings.targetPort());
    this.listener = listener;
    this.faults = faults;
    this.random = new Random(settings.seed());
    this.counters = counters;
    this.selector = Selector.open();
    listener.configureBlocking(false);
    this.listenerKey = listener.register(selector, SelectionKey.OP_ACCEPT);
  }

  /**
   * Schedules a command to run on the thread of the loop; runs it on the caller's thread if the
   * loop has ended.
   */
  void execute(Runnable command) {
    boolean closed;
    synchronized (selectorLock) {
      commands.add(command);
      closed = !selector.isOpen();
      if (!closed) {
        selector.wakeup();
      }
    }
    if (closed) {
      runCommands();
    }
  }

  void stop() {
    stopped = true;
    execute(() -> {});
  }

  void setFaults(ProxyFaults changed) {
    faults = changed;
    if (changed.cut()) {
      connections.forEach(ProxiedConnection::reset);
    }
  }

  void blackholeConnections() {
    connections.forEach(ProxiedConnection::blackhole);
  }

  int connectionCount() {
    return connections.size();
  }

  @Override
  public void run() {
    try {
      while (!stopped) {
        selectOnce();
      }
    } catch (IOException | ClosedSelectorException e) {
      logger.atSevere().withCause(e).log("proxy: loop to %s failed", targetAddress);
    } finally {
      close();
    }
  }

  private void selectOnce() throws IOException {
    selector.select(timeoutMs());
    runCommands();
    if (!faults.frozen()) {
      processSelected();
      flushConnections();
    }
    selector.selectedKeys().clear();
    connections.removeIf(connection -> !connection.isOpen());
    listenerKey.interestOps(faults.frozen() ? 0 : SelectionKey.OP_ACCEPT);
    connections.forEach(connection -> connection.updateInterest(faults.frozen()));
  }

  /** Returns the timeout of the selector; 0 for no timeout. */
  private long timeoutMs() {
    long nextMs = Pipe.NEVER_MS;
    if (!faults.frozen()) {
      for (ProxiedConnection connection : connections) {
        nextMs = Math.min(nextMs, connection.nextDueMs());
      }
    }
    return nextMs == Pipe.NEVER_MS ? 0 : Math.max(1, nextMs - nowMs());
  }

  private void runCommands() {
    Runnable command = commands.poll();
    while (command != null) {
      command.run();
      command = commands.poll();
    }
  }

  private void processSelected() {
    for (SelectionKey key : selector.selectedKeys()) {
      if (!key.isValid()) {
        continue;
      }
      if (key.attachment() instanceof ProxiedConnection connection) {
        process(connection);
      } else if (key.isAcceptable()) {
        tryAccept();
      }
    }
  }

  private void process(ProxiedConnection connection) {
    try {
      connection.process(faults, this::dueMs, buffer);
    } catch (IOException e) {
      connection.reset();
    }
  }

  private void flushConnections() {
    long nowMs = nowMs();
    for (ProxiedConnection connection : connections) {
      try {
        connection.flush(nowMs);
      } catch (IOException e) {
        connection.reset();
      }
    }
  }

  private void tryAccept() {
    try {
      accept();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("proxy: connection to %s failed", targetAddress);
    }
  }

  private void accept() throws IOException {
    SocketChannel client = listener.accept();
    if (client == null) {
      return;
    }
    if (faults.cut()) {
      ProxiedConnection.resetQuietly(client);
      return;
    }
    prepare(client);
    connections.add(connect(client));
  }

  private static void prepare(SocketChannel channel) throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  private ProxiedConnection connect(SocketChannel client) throws IOException {
    SocketChannel target = SocketChannel.open();
    prepare(target);
    ProxiedConnection connection = new ProxiedConnection(client, target, selector, counters);
    try {
      target.connect(targetAddress);
    } catch (IOException e) {
      connection.reset();
    }
    return connection;
  }

  private long dueMs(long delayMs) {
    long jitterMs = faults.jitterMs() == 0 ? 0 : random.nextLong(faults.jitterMs() + 1);
    return nowMs() + delayMs + jitterMs;
  }

  private void close() {
    connections.forEach(ProxiedConnection::close);
    connections.clear();
    synchronized (selectorLock) {
      try {
        listener.close();
        selector.close();
      } catch (IOException e) {
        logger.atWarning().withCause(e).log("proxy: close of the listener failed");
      }
    }
    runCommands();
  }

  private static long nowMs() {
    return NANOSECONDS.toMillis(System.nanoTime());
  }
}
