package org.hickorymoor.daemon.journal;

import com.google.common.flogger.FluentLogger;
import com.google.gson.JsonElement;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.AppenderSettings;
import org.hickorymoor.daemon.stream.BatchAppender;
import org.hickorymoor.daemon.stream.BatchListener;
import org.hickorymoor.daemon.stream.EntryListener;
import org.hickorymoor.daemon.stream.EntryPosition;
import org.hickorymoor.daemon.stream.FollowerSettings;
import org.hickorymoor.daemon.stream.FollowerStatus;
import org.hickorymoor.daemon.stream.LogFollower;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.daemon.stream.StreamGap;

/**
 * A stream of the log together with the ledger that is built from its entries.
 *
 * <p>Thread-safe: the ledger is accessed only under the stream's lock.
 *
 * @param <L> type of the ledger
 */
final class LedgerStream<L> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Applies one entry to a ledger. */
  @FunctionalInterface
  interface EntryApplier<L> {

    /**
     * Applies an entry.
     *
     * @param ledger the ledger
     * @param entry the entry
     */
    void apply(L ledger, JsonElement entry);
  }

  /** A future that completes once the ledger has applied the entry at an offset. */
  private record Waiter(long offset, CompletableFuture<Void> applied) {}

  private final StreamContext context;
  private final String stream;
  private final L ledger;
  private final EntryApplier<L> applier;
  private final BatchAppender appender;
  private final LogFollower follower;
  private final Object lock = new Object();
  private final PriorityQueue<Waiter> waiters =
      new PriorityQueue<>((left, right) -> Long.compare(left.offset(), right.offset()));

  LedgerStream(
      StreamContext context,
      String stream,
      String incarnation,
      AppendRateLimiter budget,
      L ledger,
      EntryApplier<L> applier) {
    this.context = context;
    this.stream = stream;
    this.ledger = ledger;
    this.applier = applier;
    this.appender =
        new BatchAppender(context, stream, incarnation, budget, AppenderSettings.DEFAULT);
    this.follower =
        new LogFollower(
            context, stream, 0, FollowerSettings.DEFAULT, new BatchListener(new Entries()));
  }

  void start() {
    appender.start();
    follower.start();
  }

  void stop() {
    follower.stop();
    appender.stop();
  }

  /** Returns whether the stream was read to its end by a read begun within {@code maxAgeMs}. */
  boolean readWithin(long maxAgeMs) {
    return follower.status().isCurrentWithin(context.nowMs(), maxAgeMs);
  }

  FollowerStatus status() {
    return follower.status();
  }

  /** Appends an entry, retrying through outages; completes when it is in the log. */
  CompletableFuture<Long> append(String entry) {
    return appender.appendWithoutTimeout(entry);
  }

  /** Appends an entry and completes once the ledger has applied it; fails after a timeout. */
  CompletableFuture<Void> appendAndApply(String entry, long timeoutMs) {
    return appender
        .append(entry, timeoutMs)
        .thenCompose(this::applied)
        .orTimeout(2 * timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Appends an entry, retrying through outages; completes once the ledger has applied it. */
  CompletableFuture<Void> appendAndApply(String entry) {
    return append(entry).thenCompose(this::applied);
  }

  /** Runs a query on the ledger under the lock. */
  <R> R read(Function<L, R> query) {
    synchronized (lock) {
      return query.apply(ledger);
    }
  }

  /** Changes the ledger without an entry, for example to remove expired claims. */
  void change(Consumer<L> change) {
    synchronized (lock) {
      change.accept(ledger);
    }
  }

  private CompletableFuture<Void> applied(long offset) {
    CompletableFuture<Void> applied = new CompletableFuture<>();
    synchronized (lock) {
      waiters.add(new Waiter(offset, applied));
    }
    release(follower.status());
    return applied;
  }

  private void release(FollowerStatus status) {
    List<Waiter> released = new ArrayList<>();
    synchronized (lock) {
      while (!waiters.isEmpty() && waiters.peek().offset() < status.nextOffset()) {
        released.add(waiters.remove());
      }
    }
    released.forEach(waiter -> waiter.applied().complete(null));
  }

  /** Applies the entries of the stream to the ledger. */
  private final class Entries implements EntryListener {

    @Override
    public void onEntry(EntryPosition position, JsonElement entry) {
      synchronized (lock) {
        try {
          applier.apply(ledger, entry);
        } catch (RuntimeException e) {
          logger.atWarning().withCause(e).log(
              "journal: Skipped entry %s of stream %s; it could not be applied.", position, stream);
        }
      }
    }

    @Override
    public void onGap(StreamGap gap) {
      logger.atInfo().log(
          "journal: Stream %s has a gap; reading continues at offset %s.", stream, gap.toOffset());
    }

    @Override
    public void onStatus(FollowerStatus status) {
      release(status);
    }
  }
}
