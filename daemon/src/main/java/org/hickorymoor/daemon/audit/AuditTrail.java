package org.hickorymoor.daemon.audit;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.flogger.FluentLogger;
import com.google.gson.JsonElement;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.AppenderSettings;
import org.hickorymoor.daemon.stream.BatchAppender;
import org.hickorymoor.daemon.stream.BatchListener;
import org.hickorymoor.daemon.stream.EntryListener;
import org.hickorymoor.daemon.stream.EntryPosition;
import org.hickorymoor.daemon.stream.FollowerSettings;
import org.hickorymoor.daemon.stream.LogFollower;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.daemon.stream.StreamGap;

/**
 * Appends changes to the log and keeps the most recent entries of all hosts in memory.
 *
 * <pre>{@code
 * trail.record(new AuditEntry(nowMs, "ada", "worker.drain", "w7", "", "drained", "accepted"));
 * List<AuditEntry> mine = trail.read(new AuditFilter("ada", null, null, 0, 100));
 * }</pre>
 *
 * <p>During an outage of the log, new entries are queued up to a limit and can already be read on
 * this host. Thread-safe.
 */
public final class AuditTrail {

  /** Name of the log stream that holds the audit entries. */
  public static final String STREAM = "audit";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final BatchAppender appender;
  private final LogFollower follower;
  private final int maxEntries;
  private final Object lock = new Object();

  // Guarded by lock: entries read from the log, oldest first, and own entries not yet appended.
  private final Deque<AuditEntry> entries = new ArrayDeque<>();
  private final Map<Long, AuditEntry> pendingEntries = new LinkedHashMap<>();
  private long nextId;

  /**
   * Creates an empty trail. {@link #start} begins reading the stream.
   *
   * @param context the log, timers and clock
   * @param incarnation id of this process run
   * @param rateLimiter limit on appends, shared by the whole process
   * @param maxEntries maximum number of entries from the log kept in memory
   */
  public AuditTrail(
      StreamContext context, String incarnation, AppendRateLimiter rateLimiter, int maxEntries) {
    requireNonNull(context, "context");
    checkArgument(maxEntries >= 1, "maxEntries must be at least 1, got %s", maxEntries);
    this.maxEntries = maxEntries;
    this.appender =
        new BatchAppender(context, STREAM, incarnation, rateLimiter, AppenderSettings.DEFAULT);
    this.follower =
        new LogFollower(
            context, STREAM, 0, FollowerSettings.DEFAULT, new BatchListener(new EntryReader()));
  }

  /** Starts reading and appending. */
  public void start() {
    appender.start();
    follower.start();
  }

  /** Stops reading and appending. Entries not yet appended may be lost; each is logged. */
  public void stop() {
    follower.stop();
    appender.stop();
  }

  /**
   * Records a change.
   *
   * @param entry the change
   * @return an offset from which on the log contains the entry; fails only with an {@link
   *     org.hickorymoor.daemon.stream.AppendFailedException}
   */
  public CompletableFuture<Long> record(AuditEntry entry) {
    long id;
    synchronized (lock) {
      id = nextId;
      nextId++;
      pendingEntries.put(id, entry);
    }
    return appender
        .appendWithoutTimeout(AuditCodec.encode(entry))
        .whenComplete((offset, failure) -> appendCompleted(id, entry, failure));
  }

  /**
   * Returns the most recent entries that match a filter.
   *
   * @param filter selects the entries
   * @return the entries, oldest first; own entries not yet in the log come last
   */
  public List<AuditEntry> read(AuditFilter filter) {
    List<AuditEntry> newestFirst = new ArrayList<>();
    synchronized (lock) {
      List<AuditEntry> own = new ArrayList<>(pendingEntries.values());
      Collections.reverse(own);
      addMatching(own, filter, newestFirst);
      addMatching(entries::descendingIterator, filter, newestFirst);
    }
    Collections.reverse(newestFirst);
    return Collections.unmodifiableList(newestFirst);
  }

  private static void addMatching(
      Iterable<AuditEntry> from, AuditFilter filter, Collection<AuditEntry> to) {
    Iterator<AuditEntry> all = from.iterator();
    while (all.hasNext() && to.size() < filter.limit()) {
      AuditEntry entry = all.next();
      if (filter.matches(entry)) {
        to.add(entry);
      }
    }
  }

  private void appendCompleted(long id, AuditEntry entry, Throwable failure) {
    synchronized (lock) {
      pendingEntries.remove(id);
    }
    if (failure != null) {
      logger.atWarning().log(
          "audit: entry may be missing from the log: %s, append failed: %s", entry, failure);
    }
  }

  private void add(AuditEntry entry) {
    synchronized (lock) {
      entries.addLast(entry);
      if (entries.size() > maxEntries) {
        entries.removeFirst();
      }
    }
  }

  /** Adds the entries that the follower reads. */
  private final class EntryReader implements EntryListener {

    @Override
    public void onEntry(EntryPosition position, JsonElement entry) {
      AuditCodec.decode(entry)
          .ifPresentOrElse(
              AuditTrail.this::add,
              () ->
                  logger.atWarning().log(
                      "audit: malformed entry at offset %s skipped", position.offset()));
    }

    @Override
    public void onGap(StreamGap gap) {
      logger.atInfo().log(
          "audit: entries before offset %s are no longer in the log", gap.toOffset());
    }
  }
}
