package org.hickorymoor.daemon.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Client-side state of one peer: its connections, the connection backoff and the number of calls.
 *
 * <p>Confined to the event loop's thread, except for the number of calls.
 */
final class PeerChannel implements ClientConnection.Owner {

  private final EventLoop loop;
  private final PeerSettings settings;
  private final PeerMetrics metrics;
  private final OutboundBudget budget;
  private final String address;
  private final Runnable onUnused;
  private final ConnectBackoff backoff;
  private final AtomicInteger callsInFlight = new AtomicInteger();
  private final Set<ClientConnection> connections = new HashSet<>();
  private @Nullable ClientConnection current;

  /**
   * Creates a channel without a connection.
   *
   * @param loop event loop that serves the connections
   * @param settings timeouts and limits
   * @param metrics traffic and event counters
   * @param budget limits the unsent bytes of all connections together
   * @param address ip:port of the peer
   * @param onUnused run some time after a connection has ended, when the channel may be unused
   */
  PeerChannel(
      EventLoop loop,
      PeerSettings settings,
      PeerMetrics metrics,
      OutboundBudget budget,
      String address,
      Runnable onUnused) {
    this.loop = loop;
    this.settings = settings;
    this.metrics = metrics;
    this.budget = budget;
    this.address = address;
    this.onUnused = onUnused;
    this.backoff = new ConnectBackoff(settings.minBackoffMs(), settings.maxBackoffMs());
  }

  /** Reserves a slot for a call. Safe to call from any thread. */
  boolean tryReserve() {
    if (callsInFlight.incrementAndGet() <= settings.maxInFlight()) {
      return true;
    }
    callsInFlight.decrementAndGet();
    return false;
  }

  /** Releases the slot of a call. Safe to call from any thread. */
  void release() {
    callsInFlight.decrementAndGet();
  }

  /** Sends a call, or fails it if the connection backoff is active. */
  void submit(PendingCall call, @Nullable PeerAddress link) {
    ClientConnection connection = current;
    if (connection == null) {
      long waitMs = backoff.remainingMs(System.nanoTime());
      if (waitMs > 0) {
        call.fail(
            PeerException.Type.UNREACHABLE,
            address + " is unreachable; next connection attempt in " + waitMs + " ms");
        return;
      }
      connection = new ClientConnection(loop, settings, metrics, budget, address, this);
      current = connection;
      connections.add(connection);
    }
    if (link != null) {
      connection.setLink(link);
    }
    connection.submit(call);
    connection.connect();
  }

  /** Returns whether the channel has no connections and no calls. Event loop's thread only. */
  boolean isUnused() {
    return connections.isEmpty() && callsInFlight.get() == 0;
  }

  /** Closes all connections, which fails their calls. */
  void close(String cause) {
    List.copyOf(connections).forEach(connection -> connection.close(cause));
  }

  @Override
  public void onGoAway(ClientConnection connection) {
    clearIfCurrent(connection);
  }

  @Override
  public void onTerminated(ClientConnection connection, boolean receivedFrame) {
    clearIfCurrent(connection);
    connections.remove(connection);
    if (receivedFrame) {
      backoff.recordSuccess();
    } else {
      backoff.recordFailure(System.nanoTime());
    }
    loop.schedule(2 * settings.maxBackoffMs(), onUnused);
  }

  private void clearIfCurrent(ClientConnection connection) {
    if (current == connection) {
      current = null;
    }
  }
}
