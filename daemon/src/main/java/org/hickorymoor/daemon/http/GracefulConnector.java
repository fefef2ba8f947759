package org.hickorymoor.daemon.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP listener that can be closed without leaving a request unanswered that was read.
 *
 * <p>{@link #drain} ends listening and closes each connection once it is idle; a connection that
 * waits for a request is closed only while nothing has been read from it. A request that arrives
 * until then is handled as usual. Once {@link #isDrained} returns true, no further request is read.
 * Thread-safe.
 */
public final class GracefulConnector extends ServerConnector {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int SELECTORS = 1;
  private static final int ACCEPT_QUEUE_SIZE = 512;

  /** Covers the segments of a request's head, which arrive one after the other. */
  private static final long DRAIN_IDLE_TIMEOUT_MS = 200;

  /** The selector takes up a change within a few milliseconds unless the processor is busy. */
  private static final long SELECTOR_TIMEOUT_MS = 200;

  private final long idleTimeoutMs;
  private final Set<SelectableChannel> accepted = ConcurrentHashMap.newKeySet();

  /** Connections with a request whose response is not complete. */
  private final Set<EndPoint> active = ConcurrentHashMap.newKeySet();

  private volatile @Nullable ServerSocketChannel listening;
  private volatile boolean closesAfterResponses;
  private volatile boolean draining;

  /**
   * Creates a listener; it binds its port when the server starts.
   *
   * @param server the server that the listener is added to
   * @param host IP address to bind
   * @param port port to bind; 0 for any free port
   * @param idleTimeoutMs how long a connection may be idle before it is closed
   */
  public GracefulConnector(Server server, String host, int port, long idleTimeoutMs) {
    // Without acceptor threads the listening channel doesn't block, so drain() can empty its queue.
    super(server, 0, SELECTORS, new HttpConnectionFactory(configuration()));
    this.idleTimeoutMs = idleTimeoutMs;
    setHost(host);
    setPort(port);
    setIdleTimeout(idleTimeoutMs);
    setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    setReuseAddress(true);
    getConnectionFactory(HttpConnectionFactory.class)
        .getHttpConfiguration()
        .addCustomizer(this::onRequest);
  }

  private static HttpConfiguration configuration() {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    return configuration;
  }

  /** Makes each further response close its connection. */
  public void closeAfterResponses() {
    closesAfterResponses = true;
  }

  /**
   * Accepts the connections that are queued, stops listening, and closes each connection as soon as
   * it is idle.
   */
  public void drain() {
    closesAfterResponses = true;
    draining = true;
    // For connections that are opened from now on.
    setIdleTimeout(DRAIN_IDLE_TIMEOUT_MS);
    ServerSocketChannel channel = listening;
    if (channel != null) {
      stopListening(channel);
    }
    for (EndPoint endPoint : getConnectedEndPoints()) {
      if (!active.contains(endPoint)) {
        endPoint.setIdleTimeout(DRAIN_IDLE_TIMEOUT_MS);
      }
      // A request may have begun between the check and the change.
      if (active.contains(endPoint)) {
        endPoint.setIdleTimeout(idleTimeoutMs);
      }
    }
  }

  /**
   * Accepts the connections that wait in the queue of the listening channel, and closes the
   * channel.
   *
   * <p>It is taken off the selector first: a registered channel goes on listening for some time
   * after it is closed, and connections that come meanwhile are reset. {@link #close} closes no
   * channel if there are no acceptor threads.
   */
  private void stopListening(ServerSocketChannel channel) {
    ChannelTracker tracker = (ChannelTracker) getSelectorManager();
    tracker.unregister(channel);
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SELECTOR_TIMEOUT_MS);
    while (channel.isRegistered() && System.nanoTime() < endNs) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
    try (channel) {
      for (SocketChannel next = channel.accept(); next != null; next = channel.accept()) {
        tracker.accepted(next);
      }
    } catch (IOException e) {
      logger.atInfo().withCause(e).log("http: Accepting the queued connections failed.");
    }
  }

  /** Returns whether {@link #drain} was called and all connections are closed. */
  public boolean isDrained() {
    return draining && openConnections() == 0;
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    accepted.removeIf(channel -> !channel.isOpen());
    return accepted.size();
  }

  /** Called before a request is handled. */
  private Request onRequest(Request request, HttpFields.Mutable responseHeaders) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    active.add(endPoint);
    Request.addCompletionListener(request, failure -> onResponded(endPoint));
    if (closesAfterResponses) {
      responseHeaders.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }
    if (draining) {
      endPoint.setIdleTimeout(idleTimeoutMs);
    }
    return request;
  }

  private void onResponded(EndPoint endPoint) {
    active.remove(endPoint);
    if (draining) {
      // The response may have begun before the drain, so that it left its connection open.
      endPoint.setIdleTimeout(DRAIN_IDLE_TIMEOUT_MS);
    }
  }

  @Override
  protected ServerSocketChannel openAcceptChannel() throws IOException {
    ServerSocketChannel channel = super.openAcceptChannel();
    listening = channel;
    return channel;
  }

  @Override
  protected SelectorManager newSelectorManager(
      Executor executor, Scheduler scheduler, int selectors) {
    return new ChannelTracker(executor, scheduler, selectors);
  }

  /** Tracks open channels, also those that have been accepted and are not registered yet. */
  private final class ChannelTracker extends ServerConnectorManager {

    ChannelTracker(Executor executor, Scheduler scheduler, int selectors) {
      super(executor, scheduler, selectors);
    }

    /** Removes a channel from the selector some time after the call. */
    void unregister(SelectableChannel channel) {
      chooseSelector()
          .submit(
              selector -> {
                SelectionKey key = channel.keyFor(selector);
                if (key != null) {
                  key.cancel();
                }
              });
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
      super.accepted(channel);
    }

    @Override
    public void accept(SelectableChannel channel, @Nullable Object attachment) {
      accepted.add(channel);
      super.accept(channel, attachment);
    }

    @Override
    protected void endPointClosed(EndPoint endpoint) {
      if (endpoint.getTransport() instanceof SelectableChannel channel) {
        accepted.remove(channel);
      }
      active.remove(endpoint);
      super.endPointClosed(endpoint);
    }
  }
}
