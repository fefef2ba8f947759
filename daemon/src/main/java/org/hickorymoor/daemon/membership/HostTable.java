package org.hickorymoor.daemon.membership;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;

/**
 * The known hosts: workers of the own domain, and entry hosts of every domain.
 *
 * <p>Methods that change the table return the resulting changes of conditions. Thread-safe.
 */
final class HostTable {

  private final MembershipSettings settings;

  @GuardedBy("this")
  private final Map<String, EntryHost> entryHosts = new HashMap<>();

  @GuardedBy("this")
  private Map<String, HostEntry> workers = new HashMap<>();

  @GuardedBy("this")
  private boolean listed;

  @GuardedBy("this")
  private long ignoreSilenceBeforeMs = Long.MIN_VALUE;

  HostTable(MembershipSettings settings) {
    this.settings = settings;
  }

  synchronized boolean isListed() {
    return listed;
  }

  /** Updates the table from the host list. */
  synchronized List<MembershipChange> update(HostList list, long nowMs) {
    listed = true;
    entryHosts.values().forEach(host -> host.setListed(false));
    Map<String, HostEntry> newWorkers = new HashMap<>();
    for (HostEntry entry : list.hosts()) {
      if (entry.role() == HostRole.ENTRY) {
        updateEntryHost(entry, nowMs);
      } else if (entry.domain().equals(settings.domain())) {
        newWorkers.put(entry.hostId(), entry);
      }
    }
    List<MembershipChange> changes = workerChanges(workers, newWorkers);
    workers = newWorkers;
    changes.addAll(evaluate(nowMs));
    return changes;
  }

  /** Updates a host from its own status. The address is used only if the host is not known yet. */
  synchronized List<MembershipChange> statusReceived(Status status, String address, long nowMs) {
    List<MembershipChange> changes = new ArrayList<>();
    EntryHost host = entryHosts.get(status.hostId());
    if (host == null) {
      if (address.isEmpty() || status.hostId().equals(settings.hostId())) {
        return changes;
      }
      host = new EntryHost(unlistedEntry(status, address), nowMs);
      entryHosts.put(status.hostId(), host);
    }
    if (host.hasDifferentIncarnation(status)) {
      addChange(changes, host, HostCondition.DEAD);
    }
    host.recordStatus(status, nowMs);
    addChange(changes, host, host.evaluate(nowMs, ignoreSilenceBeforeMs, settings));
    return changes;
  }

  /** Evaluates every host again and removes dead hosts that are not in the host list. */
  synchronized List<MembershipChange> evaluate(long nowMs) {
    List<MembershipChange> changes = new ArrayList<>();
    Iterator<EntryHost> hosts = entryHosts.values().iterator();
    while (hosts.hasNext()) {
      EntryHost host = hosts.next();
      addChange(changes, host, host.evaluate(nowMs, ignoreSilenceBeforeMs, settings));
      if (host.condition() == HostCondition.DEAD && listed && !host.isListed()) {
        addChange(changes, host, HostCondition.UNKNOWN);
        hosts.remove();
      }
    }
    return changes;
  }

  /**
   * Ignores the silence of other hosts until now. Called after a pause of this host, during which
   * it could not receive any status.
   */
  synchronized void ignoreSilenceBefore(long nowMs) {
    ignoreSilenceBeforeMs = nowMs;
  }

  synchronized List<HostEntry> workers() {
    return List.copyOf(workers.values());
  }

  synchronized Optional<HostEntry> entryHost(String hostId) {
    return Optional.ofNullable(entryHosts.get(hostId)).map(EntryHost::entry);
  }

  synchronized HostCondition conditionOf(String hostId) {
    EntryHost host = entryHosts.get(hostId);
    return host == null ? HostCondition.UNKNOWN : host.condition();
  }

  synchronized Optional<Status> statusOf(String hostId) {
    return Optional.ofNullable(entryHosts.get(hostId)).map(EntryHost::status);
  }

  /** Returns the matching entry hosts, ordered by condition, then by most recent status. */
  synchronized List<HostEntry> entryHosts(Predicate<EntryHost> filter) {
    return entryHosts.values().stream()
        .filter(filter)
        .sorted(
            Comparator.comparing(HostTable::conditionRank)
                .thenComparing(EntryHost::lastStatusMs, Comparator.reverseOrder()))
        .map(EntryHost::entry)
        .toList();
  }

  private static int conditionRank(EntryHost host) {
    return switch (host.condition()) {
      case LIVE -> 0;
      case NEW -> 1;
      case LEAVING -> 2;
      case PAUSED -> 3;
      case DEAD, UNKNOWN -> 4;
    };
  }

  @GuardedBy("this")
  private void updateEntryHost(HostEntry entry, long nowMs) {
    if (entry.hostId().equals(settings.hostId())) {
      return;
    }
    EntryHost host =
        entryHosts.computeIfAbsent(entry.hostId(), hostId -> new EntryHost(entry, nowMs));
    host.setEntry(entry);
    host.setListed(true);
  }

  private static void addChange(
      List<MembershipChange> changes, EntryHost host, HostCondition after) {
    if (host.condition() != after) {
      changes.add(new MembershipChange(host.entry(), host.condition(), after));
      host.setCondition(after);
    }
  }

  private static List<MembershipChange> workerChanges(
      Map<String, HostEntry> before, Map<String, HostEntry> after) {
    List<MembershipChange> changes = new ArrayList<>();
    for (HostEntry worker : after.values()) {
      HostEntry earlier = before.get(worker.hostId());
      HostCondition was = earlier == null ? HostCondition.UNKNOWN : workerCondition(earlier);
      if (was != workerCondition(worker)) {
        changes.add(new MembershipChange(worker, was, workerCondition(worker)));
      }
    }
    for (HostEntry worker : before.values()) {
      if (!after.containsKey(worker.hostId())) {
        changes.add(new MembershipChange(worker, workerCondition(worker), HostCondition.UNKNOWN));
      }
    }
    return changes;
  }

  private static HostCondition workerCondition(HostEntry worker) {
    return worker.state() == HostState.LEAVING ? HostCondition.LEAVING : HostCondition.LIVE;
  }

  private HostEntry unlistedEntry(Status status, String address) {
    boolean own = status.domain().equals(settings.domain());
    String region = own ? settings.region() : "";
    return new HostEntry(
        status.hostId(), HostRole.ENTRY, status.domain(), region, "", address, HostState.LIVE);
  }
}
