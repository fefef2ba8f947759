package org.hickorymoor.daemon.membership;

import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostState;
import org.jspecify.annotations.Nullable;

/** The known state of one entry host. Guarded by the lock of its {@link HostTable}. */
final class EntryHost {

  private final long firstSeenMs;
  private HostEntry entry;
  private boolean listed;
  private @Nullable Status status;
  private long lastStatusMs;
  private HostCondition condition = HostCondition.UNKNOWN;

  EntryHost(HostEntry entry, long nowMs) {
    this.entry = entry;
    this.firstSeenMs = nowMs;
  }

  HostEntry entry() {
    return entry;
  }

  @Nullable Status status() {
    return status;
  }

  long lastStatusMs() {
    return lastStatusMs;
  }

  HostCondition condition() {
    return condition;
  }

  void setCondition(HostCondition newCondition) {
    condition = newCondition;
  }

  void setListed(boolean newListed) {
    listed = newListed;
  }

  boolean isListed() {
    return listed;
  }

  void setEntry(HostEntry newEntry) {
    entry = newEntry;
  }

  void recordStatus(Status newStatus, long nowMs) {
    status = newStatus;
    lastStatusMs = nowMs;
  }

  /** Returns whether a status comes from another process run of the host than the last status. */
  boolean hasDifferentIncarnation(Status newStatus) {
    return status != null && !status.incarnation().equals(newStatus.incarnation());
  }

  /**
   * Evaluates the condition of the host.
   *
   * @param nowMs current time
   * @param ignoreSilenceBeforeMs silence before this time does not count, because this host itself
   *     was paused then
   * @param settings timeouts after which a silent host counts as paused or dead
   * @return the condition
   */
  HostCondition evaluate(long nowMs, long ignoreSilenceBeforeMs, MembershipSettings settings) {
    long sinceMs = status == null ? firstSeenMs : lastStatusMs;
    long silentMs = nowMs - Math.max(sinceMs, ignoreSilenceBeforeMs);
    if (silentMs >= settings.deadAfterMs()) {
      return HostCondition.DEAD;
    }
    if (status == null) {
      return entry.state() == HostState.LEAVING ? HostCondition.LEAVING : HostCondition.NEW;
    }
    if (silentMs >= settings.pausedAfterMs()) {
      return HostCondition.PAUSED;
    }
    boolean leaving = status.leaving() || entry.state() == HostState.LEAVING;
    return leaving ? HostCondition.LEAVING : HostCondition.LIVE;
  }
}
