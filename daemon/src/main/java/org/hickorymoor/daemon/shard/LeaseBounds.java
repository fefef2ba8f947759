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
import org.jspecify.annotations.Nullable;

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

  /** Key of the bound of all leases that were granted before a term; no worker has an empty ID. */
  private static final String FORMER_TERMS_KEY = KEY_PREFIX;

  /** Limit of a stored time; covers that a host observes a heartbeat late. */
  private static final long MAX_REMAINING_MS = 2 * HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS;

  private static final String SEPARATOR = "\n";

  /** A bound that is stored, about to be stored, or about to be removed. */
  private static final class Bound {
    private final long epoch;
    private final long endsNs;

    /** When the heartbeat was sent that the stored record refers to. */
    private final long referenceNs;

    private final List<Runnable> whenRemoved = new ArrayList<>();
    private boolean removing;

    Bound(long epoch, long endsNs, long referenceNs) {
      this.epoch = epoch;
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
  private @Nullable Bound formerTerms;

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
    Bound bound = decode(key, value);
    if (!key.equals(FORMER_TERMS_KEY)) {
      bounds.put(key.substring(KEY_PREFIX.length()), bound);
    } else if (bound.epoch < epoch) {
      heartbeats.onLeasesBounded(bound.epoch, bound.endsNs);
    }
  }

  /** Returns a stored bound; one that has not passed for long if the record is malformed. */
  private Bound decode(String key, byte[] value) {
    List<String> fields = List.of(new String(value, UTF_8).split(SEPARATOR, -1));
    try {
      long storedEpoch = Long.parseLong(fields.get(0));
      long offset = Long.parseLong(fields.get(1));
      long remainingMs = Long.parseLong(fields.get(2));
      if (offset >= 0 && remainingMs >= 0 && remainingMs <= MAX_REMAINING_MS) {
        long referenceNs = heartbeats.appendedByNs(offset);
        long endsNs = referenceNs + TimeUnit.MILLISECONDS.toNanos(remainingMs);
        return new Bound(storedEpoch, endsNs, referenceNs);
      }
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      logger.atFine().withCause(e).log("shard: Lease bound %s is malformed.", key);
    }
    logger.atWarning().log("shard: Lease bound %s is malformed, ignored.", key);
    return new Bound(0, electedNs + TimeUnit.DAYS.toNanos(1), electedNs);
  }

  private void mark(String key, Bound bound, long offset) {
    long remainingMs =
        Math.max(0, TimeUnit.NANOSECONDS.toMillis(bound.endsNs - bound.referenceNs) + 1);
    String value = epoch + SEPARATOR + offset + SEPARATOR + remainingMs;
    ledger.markDirty(key, () -> value.getBytes(UTF_8));
  }

  /**
   * Stores when the leases of all former terms must have ended, again and again until they have, so
   * that a host that has observed none of these terms need not wait for longer.
   */
  void storeFormerTerms() {
    long referenceNs = heartbeats.confirmedSentNs();
    Bound stored = formerTerms;
    boolean isCurrent =
        stored != null && (stored.endsNs - stored.referenceNs < 0 || isRecent(stored, referenceNs));
    if (!isCurrent && referenceNs - formerTermsKnownNs() > 0) {
      formerTerms = new Bound(epoch, heartbeats.formerLeasesEndNs(epoch), referenceNs);
      mark(FORMER_TERMS_KEY, formerTerms, heartbeats.confirmedOffset());
    }
  }

  private static boolean isRecent(Bound stored, long referenceNs) {
    return referenceNs - stored.referenceNs < REFRESH_NS;
  }

  private long formerTermsKnownNs() {
    long shortenedNs = heartbeats.shortenedNs();
    return shortenedNs - electedNs > 0 ? shortenedNs : electedNs;
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
    store(workerId, formerLeaseEndsNs(workerId), formerTermsKnownNs());
  }

  /**
   * Stores the bound of a worker unless a recent one is stored. Does nothing before a heartbeat is
   * confirmed that was sent after the end was known: only from such a heartbeat on the clock of
   * this host, which stands still while the host is suspended, measures enough.
   *
   * @param endsNs when the lease of the worker must have ended
   * @param knownNs when it was last renewed, or when the end was worked out if that is later
   */
  void store(String workerId, long endsNs, long knownNs) {
    long referenceNs = heartbeats.confirmedSentNs();
    Bound stored = bounds.get(workerId);
    boolean isNew = stored == null || stored.removing;
    boolean isCurrent = stored != null && !stored.removing && isRecent(stored, referenceNs);
    if (isCurrent || referenceNs - knownNs <= 0) {
      return;
    }
    long offset = heartbeats.confirmedOffset();
    Bound bound = new Bound(epoch, endsNs, referenceNs);
    bounds.put(workerId, bound);
    if (isNew) {
      logger.atInfo().log(
          "worker: The lease of %s ends within %d ms of the heartbeat at offset %d.",
          workerId, TimeUnit.NANOSECONDS.toMillis(endsNs - referenceNs), offset);
    }
    mark(key(workerId), bound, offset);
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
