package org.hickorymoor.daemon.peer;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hickorymoor.daemon.peer.PeerMetrics.Event;

/**
 * Limits the total unsent bytes of all connections of a client or server.
 *
 * <p>When the limit is reached, the connection with the most unsent bytes is closed, so that a few
 * slow readers don't starve the others. Confined to the event loop's thread.
 */
final class OutboundBudget {

  private final long maxBytes;
  private final Set<Connection> connections = new HashSet<>();
  private long reservedBytes;

  OutboundBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Reserves bytes for a connection. Closes connections with more unsent bytes if necessary.
   *
   * @return false if the limit is reached and no other connection has more unsent bytes
   */
  boolean tryReserve(Connection connection, int bytes) {
    while (reservedBytes + bytes > maxBytes) {
      Optional<Connection> largest =
          connections.stream().max(Comparator.comparingInt(Connection::outboundBytes));
      if (largest.isEmpty() || largest.get().outboundBytes() <= connection.outboundBytes()) {
        return false;
      }
      largest
          .get()
          .close(
              Event.CLOSED_SLOW_READER,
              "it had the most unsent bytes when the limit for all connections was reached");
    }
    reservedBytes += bytes;
    connections.add(connection);
    return true;
  }

  /** Returns reserved bytes, and stops tracking the connection once it has no unsent bytes. */
  void release(Connection connection, int bytes) {
    reservedBytes -= bytes;
    if (connection.outboundBytes() == 0) {
      connections.remove(connection);
    }
  }
}
