package org.hickorymoor.daemon.peer;

import java.util.concurrent.CompletableFuture;

/**
 * Handles requests from peers.
 *
 * <pre>{@code
 * PeerHandler handler = request -> CompletableFuture.completedFuture(new PeerReply.Done());
 * }</pre>
 *
 * <p>Called on the server's executor, possibly by several threads at once. Without an executor it
 * is called on the I/O thread, and must not block.
 */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles one request.
   *
   * <p>The future may complete on any thread at any time. If it fails, or if this method throws,
   * the peer receives {@link PeerErrorType#INTERNAL}.
   *
   * @param request the request
   * @return a future for the reply
   */
  CompletableFuture<PeerReply> handle(PeerRequest request);
}
