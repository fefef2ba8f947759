package org.hickorymoor.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;

/** Calls other hosts of the cell. */
@FunctionalInterface
public interface PeerPort {

  /**
   * Calls a host.
   *
   * @param address ip:port of the host
   * @param request what to ask
   * @param timeoutMs time for the whole call
   * @return the reply; fails if there is none in time
   */
  CompletableFuture<PeerReply> call(String address, PeerRequest request, long timeoutMs);
}
