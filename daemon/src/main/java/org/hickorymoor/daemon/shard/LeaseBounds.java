package org.hickorymoor.daemon.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;

/**
 * When the leases of workers that don't answer must have ended, stored so that it outlives the
 * coordinator.
 *
 * <p>A bound is stored once a worker has stopped answering. As long as it is stored, no coordinator
 * renews the lease of that worker; it is removed from the ledger first. A successor can therefore
 * rely on a bound that it finds. For a worker without one it waits for the longest lease that a
 * former coordinator may have granted. Not thread-safe; confined to the event loop thread.
 */
final class LeaseBounds {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Begins the keys of the bounds in the ledger; no job has such a name. */
  private static final String KEY_PREFIX = "lease:";

  /**
   * Interval at which a bound is stored again, relative to a newer heartbeat: a host that has just
   * started knows only that the heartbeats before its start are older than the start.
   */
  private static final long REFRESH_NS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final String SEPARATOR = "\n";

  /** A bound that is stored, about to be stored, or about to be removed. */
  private static final class Bound {
    private final long endsNs;

    /** When the heartbeat was sent that the stored record refers to. */
    private final long referenceNs;

    private final List<Runnable> whenRemoved = new ArrayList<>();
    private boolean removing;

    Bound(long endsNs, long referenceNs) {
      this.endsNs = endsNs;
      this.referenceNs = referenceNs;
    }
  }

  private final ShardEventLoop loop;
  private final LedgerWriter ledger;
  private final HeartbeatHistory heartbeats;
  private final long epoch;
  private final long electedNs;
  private final Map<String, Bound> bounds = new HashMap<>();

  /**
   * Creates the bounds of a term, which are empty until the ledger is read.
   *
   * @param heartbeats heartbeats that this host has observed
   * @param epoch epoch of the term
   */
  LeaseBounds(ShardEventLoop loop, LedgerWriter ledger, HeartbeatHistory heartbeats, long epoch) {
    this.loop = loop;
    this.ledger = ledger;
    this.heartbeats = heartbeats;
    this.epoch = epoch;
    this.electedNs = loop.nowNs();
  }

  /** Returns whether a record of the ledger is the bound of a worker. */
  static boolean isBound(String key) {
    return key.startsWith(KEY_PREFIX);
  }

  private static String key(String workerId) {
    return KEY_PREFIX + workerId;
  }

  /** Adds a bound that an earlier coordinator has stored. */
  void restore(String key, byte[] value) {
    List<String> fields = List.of(new String(value, UTF_8).split(SEPARATOR, -1));
    try {
      long offset = Long.parseLong(fields.get(0));
      long remainingMs = Long.parseLong(fields.get(1));
      if (offset >= 0 && remainingMs >= 0) {
        long referenceNs = heartbeats.appendedByNs(offset);
        long endsNs = referenceNs + TimeUnit.MILLISECONDS.toNanos(remainingMs);
        bounds.put(key.substring(KEY_PREFIX.length()), new Bound(endsNs, referenceNs));
        return;
      }
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      logger.atFine().withCause(e).log("shard: Record %s is malformed.", key);
    }
    // Unless it is removed, a successor that can read it would rely on it.
    bounds.put(
        key.substring(KEY_PREFIX.length()),
        new Bound(electedNs + TimeUnit.DAYS.toNanos(1), electedNs));
    logger.atWarning().log("shard: Lease bound %s is malformed, ignored.", key);
  }

  /** Returns whether a bound is stored for a worker, so that its lease must not be renewed. */
  boolean isStored(String workerId) {
    return bounds.containsKey(workerId);
  }

  /** Returns when every lease that a former coordinator granted to a worker must have ended. */
  long formerLeaseEndsNs(String workerId) {
    long endsNs = heartbeats.formerLeasesEndNs(epoch);
    Bound bound = bounds.get(workerId);
    return bound != null && bound.endsNs - endsNs < 0 ? bound.endsNs : endsNs;
  }

  /** Stores the bound of a worker that has not answered in this term. */
  void storeFormer(String workerId) {
    store(workerId, formerLeaseEndsNs(workerId), electedNs);
  }

  /**
   * Stores the bound of a worker unless a recent one is stored. Does nothing before a heartbeat is
   * confirmed that was sent after the lease was granted: only from such a heartbeat on the clock of
   * this host, which stands still while the host is suspended, measures enough.
   *
   * @param endsNs when the lease of the worker must have ended
   * @param grantedNs when it was last renewed
   */
  void store(String workerId, long endsNs, long grantedNs) {
    long referenceNs = heartbeats.confirmedSentNs();
    Bound stored = bounds.get(workerId);
    boolean isRecent =
        stored != null && !stored.removing && referenceNs - stored.referenceNs < REFRESH_NS;
    if (isRecent || referenceNs - grantedNs <= 0) {
      return;
    }
    long offset = heartbeats.confirmedOffset();
    long remainingMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(endsNs - referenceNs) + 1);
    bounds.put(workerId, new Bound(endsNs, referenceNs));
    if (stored == null || stored.removing) {
      logger.atInfo().log(
          "worker: The lease of %s ends within %d ms of the heartbeat at offset %d.",
          workerId, remainingMs, offset);
    }
    ledger.markDirty(key(workerId), () -> (offset + SEPARATOR + remainingMs).getBytes(UTF_8));
  }

  /**
   * Removes the bound of a worker.
   *
   * @param whenRemoved called once the removal is stored; not called if a new bound replaces it
   */
  void remove(String workerId, Runnable whenRemoved) {
    Bound bound = bounds.get(workerId);
    if (bound == null) {
      return;
    }
    bound.whenRemoved.add(whenRemoved);
    if (bound.removing) {
      return;
    }
    bound.removing = true;
    ledger.markDirty(key(workerId), () -> Entry.tombstone(key(workerId)).value());
    ledger.runAfterStored(
        () -> {
          if (bounds.remove(workerId, bound)) {
            bound.whenRemoved.forEach(Runnable::run);
          }
        });
  }

  /** Removes the bounds of the workers that a condition holds for. */
  void removeIf(Predicate<String> condition) {
    bounds.forEach(
        (workerId, bound) -> {
          if (!bound.removing && condition.test(workerId)) {
            remove(workerId, () -> {});
          }
        });
  }
}
