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
 * One stream of the log with the ledger that its entries make.
 *
 * <p>Safe for use by several threads; the ledger is touched under the stream's lock only.
 *
 * @param <L> the ledger
 */
final class LedgerStream<L> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Applies one entry to a ledger. */
  @FunctionalInterface
  interface Apply<L> {

    /**
     * Applies an entry.
     *
     * @param ledger the ledger
     * @param entry the entry
     */
    void apply(L ledger, JsonElement entry);
  }

  /** Somebody who waits until the ledger has applied an offset. */
  private record Waiter(long offset, CompletableFuture<Void> passed) {}

  private final StreamContext context;
  private final String stream;
  private final L ledger;
  private final Apply<L> apply;
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
      Apply<L> apply) {
    this.context = context;
    this.stream = stream;
    this.ledger = ledger;
    this.apply = apply;
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

  /** Tells whether a read of the log's end was begun within the last time and answered. */
  boolean readWithin(long maxAgeMs) {
    return follower.status().isCurrentWithin(context.nowMs(), maxAgeMs);
  }

  FollowerStatus status() {
    return follower.status();
  }

  /** Appends an entry, waiting out any outage; completes when it stands in the log. */
  CompletableFuture<Long> append(String entry) {
    return appender.appendWithoutTimeout(entry);
  }

  /** Appends an entry and completes once the ledger has applied it, or fails after a time. */
  CompletableFuture<Void> appendAndApply(String entry, long timeoutMs) {
    return appender
        .append(entry, timeoutMs)
        .thenCompose(this::passed)
        .orTimeout(2 * timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Appends an entry whatever the outage, and completes once the ledger has applied it. */
  CompletableFuture<Void> appendAndApply(String entry) {
    return append(entry).thenCompose(this::passed);
  }

  /** Looks at the ledger. */
  <R> R read(Function<L, R> look) {
    synchronized (lock) {
      return look.apply(ledger);
    }
  }

  /** Changes the ledger without an entry, as for dropping what is too old. */
  void change(Consumer<L> change) {
    synchronized (lock) {
      change.accept(ledger);
    }
  }

  private CompletableFuture<Void> passed(long offset) {
    CompletableFuture<Void> passed = new CompletableFuture<>();
    synchronized (lock) {
      waiters.add(new Waiter(offset, passed));
    }
    release(follower.status());
    return passed;
  }

  private void release(FollowerStatus status) {
    List<Waiter> released = new ArrayList<>();
    synchronized (lock) {
      while (!waiters.isEmpty() && waiters.peek().offset() < status.nextOffset()) {
        released.add(waiters.remove());
      }
    }
    released.forEach(waiter -> waiter.passed().complete(null));
  }

  /** Takes the entries of the stream in. */
  private final class Entries implements EntryListener {

    @Override
    public void onEntry(EntryPosition position, JsonElement entry) {
      synchronized (lock) {
        try {
          apply.apply(ledger, entry);
        } catch (RuntimeException e) {
          logger.atWarning().withCause(e).log(
              "journal: Entry %s of stream %s skipped.", position, stream);
        }
      }
    }

    @Override
    public void onGap(StreamGap gap) {
      logger.atInfo().log("journal: Stream %s starts at offset %s.", stream, gap.toOffset());
    }

    @Override
    public void onStatus(FollowerStatus status) {
      release(status);
    }
  }
}
