package org.hickorymoor.daemon.peer;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hickorymoor.daemon.peer.PeerMetrics.Event;

/**
 * Bounds the bytes that wait to be sent on all connections of a client or server.
 *
 * <p>When they run out, the connection that holds the most is cut off, so that a few slow readers
 * don't starve the others. Belongs to the thread of the loop.
 */
final class OutboundBudget {

  private final long maxBytes;
  private final Set<Connection> connections = new HashSet<>();
  private long reservedBytes;

  OutboundBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Takes room for bytes of a connection, cutting off others that hold more where that is needed.
   *
   * @return false if there is no room, and no connection that holds more
   */
  boolean tryReserve(Connection connection, int bytes) {
    while (reservedBytes + bytes > maxBytes) {
      Optional<Connection> largest =
          connections.stream().max(Comparator.comparingInt(Connection::outboundBytes));
      if (largest.isEmpty() || largest.get().outboundBytes() <= connection.outboundBytes()) {
        return false;
      }
      largest.get().close(Event.CLOSED_SLOW_READER, "it held the most of too many unsent bytes");
    }
    reservedBytes += bytes;
    connections.add(connection);
    return true;
  }

  /** Gives back room; the connection no longer counts once it holds nothing. */
  void release(Connection connection, int bytes) {
    reservedBytes -= bytes;
    if (connection.outboundBytes() == 0) {
      connections.remove(connection);
    }
  }
}
