package org.hickorymoor.daemon.peer;

import static com.google.common.base.Preconditions.checkState;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.hickorymoor.daemon.peer.PeerMetrics.Event;
import org.hickorymoor.daemon.peer.ServerConnection.RequestContext;
import org.jspecify.annotations.Nullable;

/**
 * Accepts connections from other daemons and passes their requests to a {@link PeerHandler}.
 *
 * <pre>{@code
 * PeerServer server = new PeerServer("10.0.0.7:7400", handler, settings, metrics);
 * server.start();
 * }</pre>
 *
 * <p>Safe for use by several threads. A peer that sends malformed frames, reads too slowly or stops
 * sending has its connection closed; other connections are not affected.
 */
public final class PeerServer {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long DRAIN_POLL_INTERVAL_MS = 10;

  private final String bindAddress;
  private final PeerHandler handler;
  private final PeerSettings settings;
  private final PeerMetrics metrics;
  private final Executor executor;
  private final OutboundBudget budget;
  private final EventLoop loop;
  private final Set<ServerConnection> connections = new HashSet<>();
  private volatile @Nullable String address;
  private boolean stopping;

  /**
   * Creates a server that calls the handler on its I/O thread; the handler must not block.
   *
   * @param bindAddress ip:port to listen on; port 0 for any free port
   * @param handler handles requests
   * @param settings timeouts and limits
   * @param metrics registry for the counters
   * @throws IOException if no selector can be opened
   */
  public PeerServer(
      String bindAddress, PeerHandler handler, PeerSettings settings, MetricRegistry metrics)
      throws IOException {
    this(bindAddress, handler, settings, metrics, Runnable::run);
  }

  /**
   * Creates a server.
   *
   * @param bindAddress ip:port to listen on; port 0 for any free port
   * @param handler handles requests
   * @param settings timeouts and limits
   * @param metrics registry for the counters
   * @param executor calls the handler
   * @throws IOException if no selector can be opened
   */
  public PeerServer(
      String bindAddress,
      PeerHandler handler,
      PeerSettings settings,
      MetricRegistry metrics,
      Executor executor)
      throws IOException {
    this.bindAddress = bindAddress;
    this.handler = handler;
    this.settings = settings;
    this.metrics = new PeerMetrics(metrics, "server");
    this.executor = executor;
    this.budget = new OutboundBudget(settings.maxTotalOutboundBytes());
    this.loop = new EventLoop("peer-server", this::closeAll);
  }

  /**
   * Binds the address and starts accepting connections.
   *
   * @throws IOException if the address can't be bound
   */
  public void start() throws IOException {
    ServerSocketChannel acceptor = ServerSocketChannel.open();
    acceptor.configureBlocking(false);
    acceptor.bind(Addresses.parse(bindAddress));
    address = Addresses.format((InetSocketAddress) acceptor.getLocalAddress());
    loop.register(acceptor, SelectionKey.OP_ACCEPT, key -> acceptAll(acceptor));
    loop.start();
    logger.atInfo().log("peer: listening on %s", address);
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return ip:port with the actual port
   */
  public String address() {
    String bound = address;
    checkState(bound != null, "the peer server has not been started");
    return bound;
  }

  /**
   * Stops the server: new requests are refused with {@link PeerErrorType#STOPPING}, requests in
   * flight are answered within the grace period, and peers close their connections once they have
   * received their replies.
   */
  public void stop() {
    CompletableFuture<Void> drained = new CompletableFuture<>();
    if (address != null && loop.execute(() -> beginStop(drained))) {
      Futures.awaitOrCancel(drained, settings.stopGraceMs());
    }
    loop.stop();
    logger.atInfo().log("peer: server stopped");
  }

  private void acceptAll(ServerSocketChannel acceptor) throws IOException {
    SocketChannel channel = acceptor.accept();
    while (channel != null) {
      accept(channel);
      channel = acceptor.accept();
    }
  }

  private void accept(SocketChannel channel) throws IOException {
    if (stopping || connections.size() >= settings.maxConnections()) {
      metrics.count(Event.REJECTED_CONNECTION);
      channel.close();
      return;
    }
    channel.configureBlocking(false);
    ServerConnection connection =
        new ServerConnection(loop, channel, settings, metrics, budget, new Dispatcher());
    connections.add(connection);
    metrics.count(Event.CONNECTED);
    connection.start();
  }

  private void beginStop(CompletableFuture<Void> drained) {
    stopping = true;
    loop.closeAcceptors();
    List.copyOf(connections).forEach(ServerConnection::sendGoAway);
    awaitDrained(drained);
  }

  private void awaitDrained(CompletableFuture<Void> drained) {
    if (connections.isEmpty()) {
      drained.complete(null);
    } else {
      loop.schedule(DRAIN_POLL_INTERVAL_MS, () -> awaitDrained(drained));
    }
  }

  private void closeAll() {
    List.copyOf(connections).forEach(connection -> connection.close("this host is stopping"));
  }

  private void handle(ServerConnection connection, RequestContext context, PeerRequest request) {
    CompletableFuture<PeerReply> future;
    try {
      future = handler.handle(request);
    } catch (RuntimeException e) {
      future = CompletableFuture.failedFuture(e);
    }
    var unused =
        future.whenComplete(
            (reply, failure) -> {
              PeerReply answer = failure == null ? reply : internalError(failure);
              loop.execute(() -> connection.reply(context, answer));
            });
  }

  private static PeerReply internalError(Throwable failure) {
    logger.atWarning().withCause(failure).log("peer: request handler failed, replying INTERNAL");
    return new PeerReply.Refused(PeerErrorType.INTERNAL, "the request handler failed: " + failure);
  }

  /** Runs requests on the executor. Confined to the event loop's thread. */
  private final class Dispatcher implements ServerConnection.Owner {

    @Override
    public void onRequest(
        ServerConnection connection, RequestContext context, PeerRequest request) {
      if (stopping) {
        connection.reply(context, refusal(PeerErrorType.STOPPING, "this host is stopping"));
        return;
      }
      try {
        executor.execute(() -> handle(connection, context, request));
      } catch (RejectedExecutionException e) {
        connection.reply(
            context,
            refusal(PeerErrorType.OVERLOADED, "the request executor rejected the request"));
      }
    }

    @Override
    public void onClosed(ServerConnection connection, String cause) {
      connections.remove(connection);
      logger.atFine().log("peer: connection closed, %s", cause);
    }

    private PeerReply refusal(PeerErrorType type, String message) {
      return new PeerReply.Refused(type, message);
    }
  }
}
