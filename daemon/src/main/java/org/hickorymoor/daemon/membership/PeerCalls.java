package org.hickorymoor.daemon.membership;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerAddress;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;

/** Calls peers; {@code client::call} of a {@link org.hickorymoor.daemon.peer.PeerClient}. */
@FunctionalInterface
public interface PeerCalls {

  /**
   * Calls one peer.
   *
   * @param peer where it is
   * @param request what to ask
   * @param timeoutMs time for the whole call
   * @return the reply to come
   */
  CompletableFuture<PeerReply> call(PeerAddress peer, PeerRequest request, long timeoutMs);
}
