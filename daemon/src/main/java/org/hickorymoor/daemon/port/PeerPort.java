package org.hickorymoor.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;

/** Calls other hosts of the cell. */
@FunctionalInterface
public interface PeerPort {

  /**
   * Sends a request to a host.
   *
   * @param address ip:port of the host
   * @param request the request
   * @param timeoutMs timeout of the whole call
   * @return the reply; the future fails if none arrives in time
   */
  CompletableFuture<PeerReply> call(String address, PeerRequest request, long timeoutMs);
}
