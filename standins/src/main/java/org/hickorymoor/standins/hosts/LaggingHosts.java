package org.hickorymoor.standins.hosts;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;

/** Hosts by id, visible to readers with a lag. Thread-safe. */
final class LaggingHosts {

  private final LongSupplier clockMs;
  private final long lagMs;
  private final Object lock = new Object();
  private final Map<String, HostEntry> newest = new TreeMap<>();
  private final ArrayDeque<Snapshot> pending = new ArrayDeque<>();
  private HostList visible = new HostList(new ArrayList<>());

  private record Snapshot(long visibleAtMs, HostList hosts) {}

  LaggingHosts(LongSupplier clockMs, long lagMs) {
    this.clockMs = clockMs;
    this.lagMs = lagMs;
  }

  /** Adds or replaces a host and makes all pending changes visible immediately. */
  void putVisible(HostEntry entry) {
    synchronized (lock) {
      newest.put(entry.hostId(), entry);
      pending.clear();
      visible = snapshot();
    }
  }

  void put(HostEntry entry) {
    synchronized (lock) {
      newest.put(entry.hostId(), entry);
      addPending();
    }
  }

  boolean remove(String hostId) {
    synchronized (lock) {
      boolean known = newest.remove(hostId) != null;
      addPending();
      return known;
    }
  }

  HostList visible() {
    synchronized (lock) {
      long nowMs = clockMs.getAsLong();
      while (!pending.isEmpty() && pending.getFirst().visibleAtMs() <= nowMs) {
        visible = pending.removeFirst().hosts();
      }
      return visible;
    }
  }

  private void addPending() {
    pending.addLast(new Snapshot(clockMs.getAsLong() + lagMs, snapshot()));
  }

  private HostList snapshot() {
    return new HostList(new ArrayList<>(newest.values()));
  }
}
