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
 * The one thread that moves the bytes of a proxy.
 *
 * <p>All but {@link #execute} and {@link #stop} runs on that thread.
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
  private final Set<Link> links = new LinkedHashSet<>();
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

  /** Runs a command on the loop's thread, soon. */
  void execute(Runnable command) {
    boolean isOver;
    synchronized (selectorLock) {
      commands.add(command);
      isOver = !selector.isOpen();
      if (!isOver) {
        selector.wakeup();
      }
    }
    if (isOver) {
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
      links.forEach(Link::reset);
    }
  }

  void silenceLinks() {
    links.forEach(Link::silence);
  }

  int linkCount() {
    return links.size();
  }

  @Override
  public void run() {
    try {
      while (!stopped) {
        turn();
      }
    } catch (IOException | ClosedSelectorException e) {
      logger.atSevere().withCause(e).log("proxy: loop to %s failed", targetAddress);
    } finally {
      close();
    }
  }

  private void turn() throws IOException {
    selector.select(timeoutMs());
    runCommands();
    if (!faults.frozen()) {
      processSelected();
      flushLinks();
    }
    selector.selectedKeys().clear();
    links.removeIf(link -> !link.isOpen());
    listenerKey.interestOps(faults.frozen() ? 0 : SelectionKey.OP_ACCEPT);
    links.forEach(link -> link.updateInterest(faults.frozen()));
  }

  /** Returns how long to wait for the selector; 0 is for ever. */
  private long timeoutMs() {
    long nextMs = Pipe.NEVER_MS;
    if (!faults.frozen()) {
      for (Link link : links) {
        nextMs = Math.min(nextMs, link.nextDueMs());
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
      if (key.attachment() instanceof Link link) {
        process(link);
      } else if (key.isAcceptable()) {
        tryAccept();
      }
    }
  }

  private void process(Link link) {
    try {
      link.process(faults, this::dueMs, buffer);
    } catch (IOException e) {
      link.reset();
    }
  }

  private void flushLinks() {
    long nowMs = nowMs();
    for (Link link : links) {
      try {
        link.flush(nowMs);
      } catch (IOException e) {
        link.reset();
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
      Link.resetQuietly(client);
      return;
    }
    prepare(client);
    links.add(connect(client));
  }

  private static void prepare(SocketChannel channel) throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  private Link connect(SocketChannel client) throws IOException {
    SocketChannel target = SocketChannel.open();
    prepare(target);
    Link link = new Link(client, target, selector, counters);
    try {
      target.connect(targetAddress);
    } catch (IOException e) {
      link.reset();
    }
    return link;
  }

  private long dueMs(long delayMs) {
    long jitterMs = faults.jitterMs() == 0 ? 0 : random.nextLong(faults.jitterMs() + 1);
    return nowMs() + delayMs + jitterMs;
  }

  private void close() {
    links.forEach(Link::close);
    links.clear();
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
