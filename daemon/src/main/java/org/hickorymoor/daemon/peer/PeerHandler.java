package org.hickorymoor.daemon.peer;

import java.util.concurrent.CompletableFuture;

/**
 * Answers the requests of peers.
 *
 * <pre>{@code
 * PeerHandler handler = request -> CompletableFuture.completedFuture(new PeerReply.Done());
 * }</pre>
 *
 * <p>Called by several threads at once where the server was given an executor with several, and on
 * the I/O thread where it was given none; in that case it must not block.
 */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles one request.
   *
   * <p>The future may complete much later. Where it fails, or where this method throws, the peer is
   * answered with {@link PeerErrorType#INTERNAL}.
   *
   * @param request what the peer asks
   * @return the reply to come
   */
  CompletableFuture<PeerReply> handle(PeerRequest request);
}
