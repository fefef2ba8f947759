package org.hickorymoor.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.protocol.platform.HostList;

/** Asks the platform which hosts there are. Safe for use by several threads. */
public interface HostListPort {

  /**
   * Reads the list, which lags.
   *
   * @param timeoutMs time for the whole call
   * @return the list; the future fails with a {@link PlatformException} and with nothing else
   */
  CompletableFuture<HostList> hosts(long timeoutMs);
}
