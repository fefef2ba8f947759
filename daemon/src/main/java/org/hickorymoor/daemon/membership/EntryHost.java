package org.hickorymoor.daemon.membership;

import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostState;
import org.jspecify.annotations.Nullable;

/** What is known of one entry host. Guarded by the lock of its {@link HostTable}. */
final class EntryHost {

  private final long firstSeenMs;
  private HostEntry entry;
  private boolean listed;
  private @Nullable Status status;
  private long lastHeardMs;
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

  long lastHeardMs() {
    return lastHeardMs;
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

  void setHeard(Status newStatus, long nowMs) {
    status = newStatus;
    lastHeardMs = nowMs;
  }

  /** Tells whether a status comes from another run of the host than the one before. */
  boolean isOtherIncarnation(Status newStatus) {
    return status != null && !status.incarnation().equals(newStatus.incarnation());
  }

  /**
   * Judges the host.
   *
   * @param nowMs time now
   * @param judgedFromMs silence before this time does not count, since this host was paused
   * @param settings how much silence is too much
   * @return the condition
   */
  HostCondition judge(long nowMs, long judgedFromMs, MembershipSettings settings) {
    long sinceMs = status == null ? firstSeenMs : lastHeardMs;
    long silentMs = nowMs - Math.max(sinceMs, judgedFromMs);
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
