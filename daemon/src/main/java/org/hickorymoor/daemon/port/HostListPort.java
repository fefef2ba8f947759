package org.hickorymoor.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.protocol.platform.HostList;

/** Reads the platform's list of hosts. Thread-safe. */
public interface HostListPort {

  /**
   * Reads the list of hosts, which may be out of date.
   *
   * @param timeoutMs timeout of the whole call
   * @return the list; the future fails only with {@link PlatformException}
   */
  CompletableFuture<HostList> hosts(long timeoutMs);
}
