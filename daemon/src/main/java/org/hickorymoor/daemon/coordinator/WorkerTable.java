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

/** The workers of the failure domain with their agents and declared profiles. Thread-safe. */
final class WorkerTable {

  private static final long INFO_RETRY_MS = 500;

  private static final class WorkerEntry {
    private final WorkerAgent agent;
    private final long addedMs;
    private volatile boolean leaving;
    private volatile @Nullable WorkerInfo info;
    private volatile long nextInfoRequestMs = Long.MIN_VALUE;

    private WorkerEntry(WorkerAgent agent, long addedMs) {
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
  private final Map<String, WorkerEntry> workers = new ConcurrentHashMap<>();

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
   * Updates the table from the platform's host list.
   *
   * @param hosts the workers of the failure domain
   * @return agents of newly added workers
   */
  List<WorkerAgent> update(Collection<HostEntry> hosts) {
    List<WorkerAgent> added = new ArrayList<>();
    for (HostEntry host : hosts) {
      WorkerEntry entry = workers.get(host.hostId());
      if (entry == null) {
        entry = new WorkerEntry(newAgent(host), clockMs.getAsLong());
        workers.put(host.hostId(), entry);
        added.add(entry.agent);
      }
      entry.agent.setAddress(host.address());
      entry.leaving = host.state() == HostState.LEAVING;
    }
    Set<String> listed = Set.copyOf(hosts.stream().map(HostEntry::hostId).toList());
    for (Map.Entry<String, WorkerEntry> worker : List.copyOf(workers.entrySet())) {
      if (!listed.contains(worker.getKey())) {
        handleUnlisted(worker.getKey(), worker.getValue());
      }
    }
    return added;
  }

  /** Marks a worker no longer listed as leaving, and removes it once its tasks have expired. */
  private void handleUnlisted(String workerId, WorkerEntry entry) {
    entry.leaving = true;
    long lastMs = Math.max(entry.addedMs, entry.agent.lastReplyMs());
    if (clockMs.getAsLong() > lastMs + settings.taskExpiryMs()) {
      workers.remove(workerId);
    }
  }

  private WorkerAgent newAgent(HostEntry host) {
    return new WorkerAgent(
        host.hostId(), host.address(), settings, port, clockMs, jitter, listener);
  }

  /** Requests the profile of every worker that has not yet reported one. */
  void requestProfiles() {
    long nowMs = clockMs.getAsLong();
    for (WorkerEntry entry : workers.values()) {
      if (entry.info == null && nowMs >= entry.nextInfoRequestMs) {
        entry.nextInfoRequestMs = nowMs + INFO_RETRY_MS + settings.callTimeoutMs();
        port.info(entry.agent.address(), settings.callTimeoutMs())
            .thenAccept(info -> entry.info = info);
      }
    }
  }

  List<WorkerAgent> agents() {
    return workers.values().stream().map(entry -> entry.agent).toList();
  }

  int size() {
    return workers.size();
  }

  @Nullable WorkerAgent agent(String workerId) {
    WorkerEntry entry = workers.get(workerId);
    return entry == null ? null : entry.agent;
  }

  /** Returns the profile of a worker, or null if it has not reported one. */
  @Nullable WorkerProfile profile(String workerId) {
    WorkerEntry entry = workers.get(workerId);
    WorkerInfo info = entry == null ? null : entry.info;
    if (entry == null || info == null) {
      return null;
    }
    WorkersConfig current = config.get();
    boolean leaving = entry.leaving || current.drained().contains(workerId);
    Resources usable = current.limit(workerId).applyTo(info.capacity());
    return new WorkerProfile(workerId, info.rack(), usable, leaving);
  }
}
