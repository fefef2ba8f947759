package org.hickorymoor.daemon.coordinator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.WorkerPort;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.config.WorkersConfig;
import org.hickorymoor.domain.policy.WorkerProfile;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.protocol.platform.WorkerInfo;
import org.jspecify.annotations.Nullable;

/** The workers of the failure domain, their agents and what is declared of them. Thread-safe. */
final class WorkerTable {

  private static final long INFO_RETRY_MS = 500;

  /** One worker. */
  private static final class Row {
    private final WorkerAgent agent;
    private final long addedMs;
    private volatile boolean leaving;
    private volatile @Nullable WorkerInfo info;
    private volatile long askAgainMs = Long.MIN_VALUE;

    private Row(WorkerAgent agent, long addedMs) {
      this.agent = agent;
      this.addedMs = addedMs;
    }
  }

  private final CoordinatorSettings settings;
  private final WorkerPort port;
  private final Supplier<WorkersConfig> config;
  private final LongSupplier clockMs;
  private final Jitter jitter;
  private final WorkerAgent.Listener listener;
  private final Map<String, Row> rows = new ConcurrentHashMap<>();

  WorkerTable(
      CoordinatorSettings settings,
      WorkerPort port,
      Supplier<WorkersConfig> config,
      LongSupplier clockMs,
      Jitter jitter,
      WorkerAgent.Listener listener) {
    this.settings = settings;
    this.port = port;
    this.config = config;
    this.clockMs = clockMs;
    this.jitter = jitter;
    this.listener = listener;
  }

  /**
   * Takes in the platform's list.
   *
   * @param hosts the workers of the failure domain
   * @return agents of workers that were not known before
   */
  List<WorkerAgent> update(Collection<HostEntry> hosts) {
    List<WorkerAgent> added = new ArrayList<>();
    for (HostEntry host : hosts) {
      Row row = rows.get(host.hostId());
      if (row == null) {
        row = new Row(newAgent(host), clockMs.getAsLong());
        rows.put(host.hostId(), row);
        added.add(row.agent);
      }
      row.agent.moveTo(host.address());
      row.leaving = host.state() == HostState.LEAVING;
    }
    Set<String> listed = Set.copyOf(hosts.stream().map(HostEntry::hostId).toList());
    for (Map.Entry<String, Row> row : List.copyOf(rows.entrySet())) {
      if (!listed.contains(row.getKey())) {
        unlisted(row.getKey(), row.getValue());
      }
    }
    return added;
  }

  /** A worker that is no longer listed leaves; it is dropped once all on it has lapsed. */
  private void unlisted(String workerId, Row row) {
    row.leaving = true;
    long lastMs = Math.max(row.addedMs, row.agent.lastReplyMs());
    if (clockMs.getAsLong() > lastMs + settings.lapseMs()) {
      rows.remove(workerId);
    }
  }

  private WorkerAgent newAgent(HostEntry host) {
    return new WorkerAgent(
        host.hostId(), host.address(), settings, port, clockMs, jitter, listener);
  }

  /** Asks workers about themselves that have not answered yet. */
  void askProfiles() {
    long nowMs = clockMs.getAsLong();
    for (Row row : rows.values()) {
      if (row.info == null && nowMs >= row.askAgainMs) {
        row.askAgainMs = nowMs + INFO_RETRY_MS + settings.callTimeoutMs();
        port.info(row.agent.address(), settings.callTimeoutMs())
            .thenAccept(info -> row.info = info);
      }
    }
  }

  List<WorkerAgent> agents() {
    return rows.values().stream().map(row -> row.agent).toList();
  }

  int size() {
    return rows.size();
  }

  @Nullable WorkerAgent agent(String workerId) {
    Row row = rows.get(workerId);
    return row == null ? null : row.agent;
  }

  /** Returns what is declared of a worker, or null if it has not said. */
  @Nullable WorkerProfile profile(String workerId) {
    Row row = rows.get(workerId);
    WorkerInfo info = row == null ? null : row.info;
    if (row == null || info == null) {
      return null;
    }
    WorkersConfig inForce = config.get();
    boolean leaving = row.leaving || inForce.drained().contains(workerId);
    Resources usable = inForce.limit(workerId).of(info.capacity());
    return new WorkerProfile(workerId, info.rack(), usable, leaving);
  }
}
