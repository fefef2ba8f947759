package org.hickorymoor.daemon;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.HostListPort;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.protocol.platform.HostRole;

/** Reads the platform's host list again and again, and keeps the last one. Thread-safe. */
final class HostListPoller {

  private final HostListPort port;
  private final String domain;
  private final long timeoutMs;
  private volatile HostList last = new HostList(List.of());

  HostListPoller(HostListPort port, String domain, long timeoutMs) {
    this.port = port;
    this.domain = domain;
    this.timeoutMs = timeoutMs;
  }

  void start(ScheduledExecutorService executor, long periodMs) {
    executor.scheduleWithFixedDelay(this::poll, 0, periodMs, TimeUnit.MILLISECONDS);
  }

  private void poll() {
    port.hosts(timeoutMs).thenAccept(list -> last = list);
  }

  List<HostEntry> workers() {
    return last.hosts().stream()
        .filter(host -> host.role() == HostRole.WORKER && host.domain().equals(domain))
        .toList();
  }
}
