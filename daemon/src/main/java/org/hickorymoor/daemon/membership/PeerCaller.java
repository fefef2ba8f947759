package org.hickorymoor.daemon.membership;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerAddress;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;

/** Sends requests to peers, usually {@link org.hickorymoor.daemon.peer.PeerClient#call}. */
@FunctionalInterface
public interface PeerCaller {

  /**
   * Sends a request to one peer.
   *
   * @param peer address of the peer
   * @param request the request
   * @param timeoutMs timeout of the whole call
   * @return the future reply
   */
  CompletableFuture<PeerReply> call(PeerAddress peer, PeerRequest request, long timeoutMs);
}
