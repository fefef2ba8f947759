package org.hickorymoor.daemon.adapter;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.jspecify.annotations.Nullable;

/**
 * A connection pool that stops reusing connections once one of them has not answered.
 *
 * <p>Connections may go silent together, without being closed, while new ones work. After a call
 * without an answer, only connections that have answered since that call was sent are reused. Idle
 * ones that have not are closed when they would be reused. Thread-safe.
 */
final class ExpiringConnectionPool extends DuplexConnectionPool {

  /** When each open connection was established or answered last. */
  private final Map<Connection, Long> answeredNs = new ConcurrentHashMap<>();

  /** When the latest call without an answer was sent. */
  private volatile @Nullable Long unansweredSinceNs;

  ExpiringConnectionPool(Destination destination, int maxConnections) {
    super(destination, maxConnections);
  }

  /**
   * Stops the reuse of connections that have not answered since a call without an answer.
   *
   * @param sentNs when the call was sent, as {@link System#nanoTime}
   */
  synchronized void onUnanswered(long sentNs) {
    Long known = unansweredSinceNs;
    if (known == null || sentNs - known > 0) {
      unansweredSinceNs = sentNs;
    }
  }

  @Override
  protected void onCreated(Connection connection) {
    answeredNs.put(connection, System.nanoTime());
    super.onCreated(connection);
  }

  @Override
  protected void onRemoved(Connection connection) {
    answeredNs.remove(connection);
    super.onRemoved(connection);
  }

  /** Called when a call has been answered and its connection can be reused. */
  @Override
  public boolean release(Connection connection) {
    answeredNs.replace(connection, System.nanoTime());
    return super.release(connection);
  }

  @Override
  protected @Nullable Connection activate() {
    while (true) {
      Connection connection = super.activate();
      if (connection == null || !isSuspect(connection)) {
        return connection;
      }
      if (remove(connection)) {
        connection.close();
      }
    }
  }

  private boolean isSuspect(Connection connection) {
    Long sinceNs = unansweredSinceNs;
    Long lastNs = answeredNs.get(connection);
    return sinceNs != null && lastNs != null && lastNs - sinceNs < 0;
  }
}
