package org.hickorymoor.daemon.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Everything that a client holds of one peer: its connections and the back-off.
 *
 * <p>Belongs to the thread of the loop, but for the count of calls.
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
   * Makes a channel without a connection.
   *
   * @param loop the loop that serves it
   * @param settings times and limits
   * @param metrics counters
   * @param budget bounds the unsent bytes of all connections
   * @param address ip:port of the peer
   * @param onUnused run when nothing of the channel may be worth keeping
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

  /** Reserves room for a call; any thread. */
  boolean tryReserve() {
    if (callsInFlight.incrementAndGet() <= settings.maxInFlight()) {
      return true;
    }
    callsInFlight.decrementAndGet();
    return false;
  }

  /** Gives back the room of a call; any thread. */
  void release() {
    callsInFlight.decrementAndGet();
  }

  /** Takes a call, which ends with a reply or a typed failure. */
  void submit(PendingCall call, @Nullable PeerAddress link) {
    ClientConnection connection = current;
    if (connection == null) {
      long waitMs = backoff.remainingMs(System.nanoTime());
      if (waitMs > 0) {
        call.fail(
            PeerException.Type.UNREACHABLE,
            address + " could not be connected; the next attempt is due in " + waitMs + " ms");
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

  /** Tells whether the channel holds neither connection nor call; the loop's thread only. */
  boolean isUnused() {
    return connections.isEmpty() && callsInFlight.get() == 0;
  }

  /** Closes all connections; calls on them fail. */
  void close(String cause) {
    List.copyOf(connections).forEach(connection -> connection.close(cause));
  }

  @Override
  public void onGoAway(ClientConnection connection) {
    clearCurrent(connection);
  }

  @Override
  public void onTerminated(ClientConnection connection, boolean receivedFrame) {
    clearCurrent(connection);
    connections.remove(connection);
    if (receivedFrame) {
      backoff.recordSuccess();
    } else {
      backoff.recordFailure(System.nanoTime());
    }
    loop.schedule(2 * settings.maxBackoffMs(), onUnused);
  }

  private void clearCurrent(ClientConnection connection) {
    if (current == connection) {
      current = null;
    }
  }
}
