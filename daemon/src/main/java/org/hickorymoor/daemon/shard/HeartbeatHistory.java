package org.hickorymoor.daemon.shard;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

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
  private record Heartbeat(long offset, long epoch, String hostId, long observedNs) {}

  private final ShardEventLoop loop;
  private final long leaseMs;
  private final Deque<Heartbeat> heartbeats = new ArrayDeque<>();

  /** When the processes of former coordinators had ended, by epoch. */
  private final Map<Long, Long> endedByNs = new HashMap<>();

  /** The leases of terms before this one have ended by {@link #earlierLeasesEndNs}. */
  private long boundedBeforeEpoch;

  private long earlierLeasesEndNs;
  private long shortenedNs;
  private long confirmedOffset = -1;
  private long confirmedSentNs;

  /**
   * Creates an empty history.
   *
   * @param leaseMs longest lease that a coordinator grants to a worker
   */
  HeartbeatHistory(ShardEventLoop loop, long leaseMs) {
    this.loop = loop;
    this.leaseMs = leaseMs;
    this.shortenedNs = loop.nowNs();
  }

  /** Returns the longest time that a lease of some length on a worker's clock takes on others. */
  static long maxElapsedMs(long leaseMs) {
    return Math.round(leaseMs * ShardSettings.CLOCK_DRIFT_FACTOR) + ShardSettings.LEASE_GRACE_MS;
  }

  /** Notes a heartbeat or claim that is stored. */
  void onObserved(CoordinatorRecord record, long offset) {
    Heartbeat newest = heartbeats.peekLast();
    if (newest != null && offset <= newest.offset()) {
      return;
    }
    long nowNs = loop.nowNs();
    heartbeats.add(new Heartbeat(offset, record.epoch(), record.hostId(), nowNs));
    while (heartbeats.size() > 1 && nowNs - heartbeats.getFirst().observedNs() > RETENTION_NS) {
      heartbeats.remove();
      endedByNs.keySet().removeIf(epoch -> epoch < heartbeats.getFirst().epoch());
    }
  }

  /**
   * Notes that the store has confirmed a heartbeat or claim of this host.
   *
   * @param sentNs a time before which it can't have been appended: when its first attempt was sent,
   *     on the clock of {@link ShardEventLoop#nowNs}
   */
  void onConfirmed(CoordinatorRecord record, long offset, long sentNs) {
    onObserved(record, offset);
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
   * Notes the start of a host's process, before which the former process of the host had ended.
   *
   * @param newestEpoch newest epoch before the process could claim any
   * @param startedByNs a time by which it had started
   */
  void onHostStarted(String hostId, long newestEpoch, long startedByNs) {
    for (Heartbeat heartbeat : heartbeats) {
      if (heartbeat.hostId().equals(hostId) && heartbeat.epoch() <= newestEpoch) {
        Long known = endedByNs.get(heartbeat.epoch());
        if (known == null || startedByNs - known < 0) {
          endedByNs.put(heartbeat.epoch(), startedByNs);
          shortenedNs = loop.nowNs();
        }
      }
    }
  }

  /**
   * Returns when every lease must have ended that a coordinator of an epoch before the given one
   * may have granted.
   */
  long formerLeasesEndNs(long epoch) {
    if (heartbeats.isEmpty() || heartbeats.getLast().epoch() < epoch) {
      // The latest former term may go on.
      return leasesEndNs(loop.nowNs());
    }
    long endNs = unobservedLeasesEndNs(heartbeats.getFirst());
    Heartbeat last = null;
    for (Heartbeat next : heartbeats) {
      if (last != null && last.epoch() < epoch && next.epoch() != last.epoch()) {
        long termEndNs = leasesOfTermEndNs(last, next);
        endNs = termEndNs - endNs > 0 ? termEndNs : endNs;
      }
      last = next;
    }
    return endNs;
  }

  /** Returns when the leases must have ended that were granted in terms before the first known. */
  private long unobservedLeasesEndNs(Heartbeat first) {
    if (first.offset() == 0) {
      return first.observedNs();
    }
    long endNs = leasesEndNs(first.observedNs());
    boolean isBounded = boundedBeforeEpoch >= first.epoch() && earlierLeasesEndNs - endNs < 0;
    return isBounded ? earlierLeasesEndNs : endNs;
  }

  /**
   * Notes when the leases of all terms before an epoch must have ended, as a coordinator of that
   * epoch has stored it.
   */
  void onLeasesBounded(long epoch, long endNs) {
    boundedBeforeEpoch = epoch;
    earlierLeasesEndNs = endNs;
    shortenedNs = loop.nowNs();
  }

  /** Returns when {@link #formerLeasesEndNs} last became earlier. */
  long shortenedNs() {
    return shortenedNs;
  }

  private static long leasesEndNs(long lastHeartbeatNs) {
    return lastHeartbeatNs + TimeUnit.MILLISECONDS.toNanos(MAX_LEASE_AFTER_TERM_MS);
  }

  /**
   * Returns when the leases must have ended that the coordinator of a term granted.
   *
   * @param last its last heartbeat that was observed
   * @param next the first one of the next term
   */
  private long leasesOfTermEndNs(Heartbeat last, Heartbeat next) {
    if (last.offset() + 1 != next.offset()) {
      // What was missed between both may belong to another term in between.
      return leasesEndNs(next.observedNs());
    }
    long endNs = leasesEndNs(last.observedNs());
    Long endedNs = endedByNs.get(last.epoch());
    if (endedNs == null) {
      return endNs;
    }
    long provenEndNs = endedNs + TimeUnit.MILLISECONDS.toNanos(maxElapsedMs(leaseMs));
    return provenEndNs - endNs < 0 ? provenEndNs : endNs;
  }
}
