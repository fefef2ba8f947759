package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.LogPart;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Appends accepted jobs and cancellations, those that come while an append is on its way together.
 *
 * <p>Records are keyed by job, so that an append that is sent twice stores nothing twice. Safe for
 * use by several threads.
 */
final class SubmissionLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Appends in flight at a time, so that a silent connection does not hold up all callers. */
  private static final int MAX_IN_FLIGHT = 4;

  /** Keeps an append below the store's limit of 2 MB. */
  private static final int MAX_BATCH_BYTES = 1_000_000;

  private record Pending(Entry entry, CompletableFuture<Void> stored) {}

  private final ShardLoop loop;
  private final KeyedLogPort log;
  private List<Pending> queue = new ArrayList<>();
  private int inFlight;
  private boolean out;

  SubmissionLog(ShardLoop loop, KeyedLogPort log) {
    this.loop = loop;
    this.log = log;
  }

  /**
   * Appends a record.
   *
   * @param key key of the record
   * @param value content of the record
   * @param timeoutMs time for the append
   * @return completes when it is stored; fails with a {@link PlatformException}
   */
  CompletableFuture<Void> append(String key, byte[] value, long timeoutMs) {
    Pending pending = new Pending(new Entry(key, value), new CompletableFuture<>());
    loop.execute(
        () -> {
          queue.add(pending);
          flush(timeoutMs);
        });
    return pending.stored();
  }

  private void flush(long timeoutMs) {
    if (queue.isEmpty() || inFlight >= MAX_IN_FLIGHT) {
      return;
    }
    List<Pending> batch = new ArrayList<>();
    List<Pending> rest = new ArrayList<>();
    int bytes = 0;
    for (Pending pending : queue) {
      bytes += pending.entry().value().length;
      (bytes <= MAX_BATCH_BYTES || batch.isEmpty() ? batch : rest).add(pending);
    }
    queue = rest;
    inFlight++;
    List<Entry> entries = batch.stream().map(Pending::entry).toList();
    loop.then(
        log.append(LogPart.SUBMISSIONS, entries, null, KeyedLogPort.ANY_OFFSET, timeoutMs),
        (offset, failure) -> {
          inFlight--;
          report(failure);
          for (Pending pending : batch) {
            if (failure == null) {
              pending.stored().complete(null);
            } else {
              pending.stored().completeExceptionally(failure);
            }
          }
          flush(timeoutMs);
        });
  }

  private void report(@Nullable PlatformException failure) {
    if (out != (failure != null)) {
      out = failure != null;
      logger.atInfo().log(
          "submissions: Store %s.",
          failure == null ? "answers again" : "does not answer: " + failure.getMessage());
    }
  }
}
