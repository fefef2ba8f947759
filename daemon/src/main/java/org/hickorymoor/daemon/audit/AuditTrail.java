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
 * Writes changes to the log and keeps the newest of all hosts in memory.
 *
 * <pre>{@code
 * trail.record(new AuditEntry(nowMs, "ada", "worker.drain", "w7", "", "drained", "accepted"));
 * List<AuditEntry> mine = trail.read(new AuditFilter("ada", null, null, 0, 100));
 * }</pre>
 *
 * <p>In an outage of the log entries wait, up to a limit, and are read on this host all the same.
 * Safe for use by several threads.
 */
public final class AuditTrail {

  /** Name of the stream. */
  public static final String STREAM = "audit";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final BatchAppender appender;
  private final LogFollower follower;
  private final int maxEntries;
  private final Object lock = new Object();

  // Guarded by lock: entries that stand in the log, oldest first, and own ones on their way there.
  private final Deque<AuditEntry> entries = new ArrayDeque<>();
  private final Map<Long, AuditEntry> onTheWay = new LinkedHashMap<>();
  private long nextId;

  /**
   * Makes a trail that has read nothing.
   *
   * @param context the log, timers and clock
   * @param incarnation name of this run of the process
   * @param budget limit on appends, shared by the process
   * @param maxEntries most entries kept in memory
   */
  public AuditTrail(
      StreamContext context, String incarnation, AppendRateLimiter budget, int maxEntries) {
    requireNonNull(context, "context");
    checkArgument(maxEntries >= 1, "maxEntries must be at least 1, got %s", maxEntries);
    this.maxEntries = maxEntries;
    this.appender =
        new BatchAppender(context, STREAM, incarnation, budget, AppenderSettings.DEFAULT);
    this.follower =
        new LogFollower(
            context, STREAM, 0, FollowerSettings.DEFAULT, new BatchListener(new EntryReader()));
  }

  /** Starts reading back and writing. */
  public void start() {
    appender.start();
    follower.start();
  }

  /** Stops; entries on their way to the log are lost, and logged. */
  public void stop() {
    follower.stop();
    appender.stop();
  }

  /**
   * Records a change.
   *
   * @param entry the change
   * @return an offset from which on it stands in the log; fails with an {@link
   *     org.hickorymoor.daemon.stream.AppendFailedException} only
   */
  public CompletableFuture<Long> record(AuditEntry entry) {
    long id;
    synchronized (lock) {
      id = nextId;
      nextId++;
      onTheWay.put(id, entry);
    }
    return appender
        .appendWithoutTimeout(AuditCodec.encode(entry))
        .whenComplete((offset, problem) -> arrived(id, entry, problem));
  }

  /**
   * Reads entries.
   *
   * @param filter which
   * @return the newest that match, oldest first; own ones not yet in the log come last
   */
  public List<AuditEntry> read(AuditFilter filter) {
    List<AuditEntry> newestFirst = new ArrayList<>();
    synchronized (lock) {
      List<AuditEntry> own = new ArrayList<>(onTheWay.values());
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

  private void arrived(long id, AuditEntry entry, Throwable problem) {
    synchronized (lock) {
      onTheWay.remove(id);
    }
    if (problem != null) {
      logger.atWarning().log("audit: not known to be in the log: %s, %s", entry, problem);
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

  /** Keeps what the follower reads. */
  private final class EntryReader implements EntryListener {

    @Override
    public void onEntry(EntryPosition position, JsonElement entry) {
      AuditCodec.decode(entry)
          .ifPresentOrElse(
              AuditTrail.this::add,
              () -> logger.atWarning().log("audit: offset %s skipped", position.offset()));
    }

    @Override
    public void onGap(StreamGap gap) {
      logger.atInfo().log("audit: entries before offset %s are gone", gap.toOffset());
    }
  }
}
