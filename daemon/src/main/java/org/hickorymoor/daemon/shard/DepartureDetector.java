package org.hickorymoor.daemon.shard;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Distinguishes workers that have removed their own entry from the list, which they do as their
 * process exits, from workers whose entry has expired, which may still run.
 *
 * <p>An entry expires only after several missed heartbeats. One that is removed sooner after its
 * latest heartbeat was removed by the worker. The time between both is estimated from above, so
 * that a late read never makes an expired entry look like a removed one. Not thread-safe; confined
 * to the event loop thread.
 */
final class DepartureDetector {

  /** Heartbeats that a worker misses before its entry expires. */
  private static final int MISSED_HEARTBEATS = 3;

  /**
   * A moment on the steady clock, which a suspension of the host stops, and on the system clock.
   */
  record Moment(long steadyNs, long unixMs) {}

  private final ShardEventLoop loop;
  private final long entryTtlMs;

  /** For each worker a moment that its latest heartbeat can't precede. */
  private final Map<String, Moment> heartbeatsAfter = new HashMap<>();

  private @Nullable Moment upToDateAt;

  /**
   * Creates a detector that knows no heartbeats.
   *
   * @param heartbeatMs interval of the heartbeats of a worker
   */
  DepartureDetector(ShardEventLoop loop, long heartbeatMs) {
    this.loop = loop;
    this.entryTtlMs = MISSED_HEARTBEATS * heartbeatMs;
  }

  /** Returns the current moment, to be taken before a read of the list is requested. */
  Moment now() {
    return new Moment(loop.nowNs(), loop.nowMs());
  }

  /**
   * Notes that a read has returned all records up to the newest, so that records that are read
   * later were written after its request.
   */
  void onUpToDate(Moment requestedAt) {
    upToDateAt = requestedAt;
  }

  /**
   * Forgets all heartbeats, since records were missed, or the store was away and may have let
   * entries expire early.
   */
  void onInterrupted() {
    heartbeatsAfter.clear();
    upToDateAt = null;
  }

  /** Notes a heartbeat of a worker. */
  void onHeartbeat(String workerId) {
    if (upToDateAt == null) {
      heartbeatsAfter.remove(workerId);
    } else {
      heartbeatsAfter.put(workerId, upToDateAt);
    }
  }

  /** Returns whether a worker whose entry has just been removed has removed it itself. */
  boolean onRemoved(String workerId) {
    Moment heartbeatAfter = heartbeatsAfter.remove(workerId);
    if (heartbeatAfter == null) {
      return false;
    }
    Moment now = now();
    long elapsedMs =
        Math.max(
            TimeUnit.NANOSECONDS.toMillis(now.steadyNs() - heartbeatAfter.steadyNs()),
            now.unixMs() - heartbeatAfter.unixMs());
    return elapsedMs < entryTtlMs;
  }
}
