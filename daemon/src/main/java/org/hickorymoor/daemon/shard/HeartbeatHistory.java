package org.hickorymoor.daemon.shard;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * When the recent heartbeats of coordinators were appended, as observed by this host.
 *
 * <p>The offsets of heartbeats are the common time base of the hosts: a host observes a heartbeat
 * only after it was appended, so the time of the observation on its own clock is an upper bound. A
 * suspension of the host, during which its clock stands still, only lengthens what is computed from
 * it. Not thread-safe; confined to the event loop thread.
 */
final class HeartbeatHistory {

  /** Upper bound of the time from a coordinator's last heartbeat to the end of its last lease. */
  static final long MAX_LEASE_AFTER_TERM_MS = maxElapsedMs(ShardSettings.COORDINATOR_LEASE_MS);

  /** Older heartbeats bound no lease that may still be valid. */
  private static final long RETENTION_NS =
      TimeUnit.MILLISECONDS.toNanos(2 * MAX_LEASE_AFTER_TERM_MS);

  /** A heartbeat, or the claim that precedes the first one of a term. */
  private record Heartbeat(long offset, long epoch, long observedNs) {}

  private final ShardEventLoop loop;
  private final Deque<Heartbeat> heartbeats = new ArrayDeque<>();
  private long confirmedOffset = -1;
  private long confirmedSentNs;

  HeartbeatHistory(ShardEventLoop loop) {
    this.loop = loop;
  }

  /** Returns the longest time that a lease of some length on a worker's clock takes on others. */
  static long maxElapsedMs(long leaseMs) {
    return Math.round(leaseMs * ShardSettings.CLOCK_DRIFT_FACTOR) + ShardSettings.LEASE_GRACE_MS;
  }

  /** Notes a heartbeat or claim that is stored. */
  void onObserved(long epoch, long offset) {
    Heartbeat newest = heartbeats.peekLast();
    if (newest != null && offset <= newest.offset()) {
      return;
    }
    long nowNs = loop.nowNs();
    heartbeats.add(new Heartbeat(offset, epoch, nowNs));
    while (heartbeats.size() > 1 && nowNs - heartbeats.getFirst().observedNs() > RETENTION_NS) {
      heartbeats.remove();
    }
  }

  /**
   * Notes that the store has confirmed a heartbeat or claim of this host.
   *
   * @param sentNs when it was sent, on the clock of {@link ShardEventLoop#nowNs}
   */
  void onConfirmed(long epoch, long offset, long sentNs) {
    onObserved(epoch, offset);
    confirmedOffset = offset;
    confirmedSentNs = sentNs;
  }

  /** Returns the offset of the latest heartbeat of this host that is confirmed. */
  long confirmedOffset() {
    return confirmedOffset;
  }

  /** Returns when the latest confirmed heartbeat of this host was sent. */
  long confirmedSentNs() {
    return confirmedSentNs;
  }

  /** Returns a time by which the heartbeat at an offset was appended. */
  long appendedByNs(long offset) {
    for (Heartbeat heartbeat : heartbeats) {
      if (heartbeat.offset() >= offset) {
        return heartbeat.observedNs();
      }
    }
    return loop.nowNs();
  }

  /**
   * Returns when every lease must have ended that a coordinator of an epoch before the given one
   * may have granted.
   */
  long formerLeasesEndNs(long epoch) {
    Heartbeat last = null;
    for (Heartbeat heartbeat : heartbeats) {
      if (heartbeat.epoch() >= epoch) {
        return termEndedByNs(last, heartbeat)
            + TimeUnit.MILLISECONDS.toNanos(MAX_LEASE_AFTER_TERM_MS);
      }
      last = heartbeat;
    }
    return loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(MAX_LEASE_AFTER_TERM_MS);
  }

  /**
   * Returns a time by which the last heartbeat of a term was appended.
   *
   * @param last the last one that was observed; null if none was
   * @param next the first one of a later term
   */
  private static long termEndedByNs(@Nullable Heartbeat last, Heartbeat next) {
    // Without a gap between both, no heartbeat of the term was missed.
    return last != null && last.offset() + 1 == next.offset()
        ? last.observedNs()
        : next.observedNs();
  }
}
