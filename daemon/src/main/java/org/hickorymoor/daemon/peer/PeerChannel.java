package org.hickorymoor.daemon.peer;

import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Everything that a client holds of one peer: the connection of the moment and the back-off.
 *
 * <p>Belongs to the thread of the loop, but for the count of calls.
 */
final class PeerChannel implements ClientConnection.Owner {

  private final EventLoop loop;
  private final PeerSettings settings;
  private final PeerMetrics metrics;
  private final String address;
  private final Runnable onRetired;
  private final Backoff backoff;
  private final AtomicInteger callsInFlight = new AtomicInteger();
  private @Nullable ClientConnection current;

  /**
   * Makes a channel without a connection.
   *
   * @param loop the loop that serves it
   * @param settings times and limits
   * @param metrics counters
   * @param address ip:port of the peer
   * @param onRetired run when nothing of the channel is worth keeping
   */
  PeerChannel(
      EventLoop loop,
      PeerSettings settings,
      PeerMetrics metrics,
      String address,
      Runnable onRetired) {
    this.loop = loop;
    this.settings = settings;
    this.metrics = metrics;
    this.address = address;
    this.onRetired = onRetired;
    this.backoff = new Backoff(settings.minBackoffMs(), settings.maxBackoffMs());
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
      connection = new ClientConnection(loop, settings, metrics, address, this);
      current = connection;
    }
    if (link != null) {
      connection.nameLink(link);
    }
    connection.submit(call);
    connection.connect();
  }

  /** Closes the connection; calls on it fail. */
  void close(String cause) {
    if (current != null) {
      current.close(cause);
    }
  }

  @Override
  public void onGoAway(ClientConnection connection) {
    forget(connection);
  }

  @Override
  public void onEnded(ClientConnection connection, boolean heard) {
    forget(connection);
    if (heard) {
      backoff.succeeded();
    } else {
      backoff.failed(System.nanoTime());
    }
    loop.schedule(2 * settings.maxBackoffMs(), this::retireIfUnused);
  }

  private void forget(ClientConnection connection) {
    if (current == connection) {
      current = null;
    }
  }

  private void retireIfUnused() {
    if (current == null && callsInFlight.get() == 0) {
      onRetired.run();
    }
  }
}
