package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Appends submissions and cancellations; those that arrive while an append is in flight share the
 * next one.
 *
 * <p>Records are keyed by job, so sending an append twice stores nothing twice. After a failed
 * append nothing more is sent until the store answers a probe; requests that were never sent can be
 * refused immediately, as they are certainly not stored. Thread-safe.
 */
final class SubmissionWriter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Keeps an append below the store's limit of 2 MB. */
  private static final int MAX_BATCH_BYTES = 1_000_000;

  /** Interval of the probes while the store does not answer. */
  private static final long PROBE_INTERVAL_MS = 150;

  /** Timeout of a probe, after which the next one follows. */
  private static final long PROBE_TIMEOUT_MS = 400;

  private record Pending(Entry entry, CompletableFuture<Void> stored) {}

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final LatencyEstimator appendLatencies = new LatencyEstimator();
  private final Supplier<KeyedStream> currentPartition;
  private final Entry probe;
  private List<Pending> queue = new ArrayList<>();

  /** Whether an append is in flight; records that arrive meanwhile wait for the next one. */
  private boolean appending;

  private boolean storeUnavailable;

  /**
   * Creates a writer.
   *
   * @param currentPartition supplies the partition to append to
   * @param probe a record of {@link KeyedStream#HOSTS} that may be written again at any time
   */
  SubmissionWriter(
      ShardEventLoop loop, KeyedLogPort log, Supplier<KeyedStream> currentPartition, Entry probe) {
    this.loop = loop;
    this.log = log;
    this.currentPartition = currentPartition;
    this.probe = probe;
  }

  /**
   * Appends a record.
   *
   * @param key key of the record
   * @param value content of the record
   * @param timeoutMs timeout of the append
   * @return completes when the record is stored; fails with a {@link PlatformException}
   */
  CompletableFuture<Void> append(String key, byte[] value, long timeoutMs) {
    Pending pending = new Pending(new Entry(key, value), new CompletableFuture<>());
    loop.execute(
        () -> {
          if (storeUnavailable) {
            pending.stored().completeExceptionally(notSent());
            return;
          }
          queue.add(pending);
          flush(timeoutMs);
        });
    return pending.stored();
  }

  private void flush(long timeoutMs) {
    if (queue.isEmpty() || appending) {
      return;
    }
    List<Pending> batch = new ArrayList<>();
    List<Pending> remaining = new ArrayList<>();
    int bytes = 0;
    for (Pending pending : queue) {
      bytes += pending.entry().value().length;
      (bytes <= MAX_BATCH_BYTES || batch.isEmpty() ? batch : remaining).add(pending);
    }
    queue = remaining;
    appending = true;
    KeyedStream partition = currentPartition.get();
    List<Entry> entries = batch.stream().map(Pending::entry).toList();
    loop.then(
        HedgedAppend.send(
            loop,
            appendLatencies,
            () -> log.append(partition, entries, null, KeyedLogPort.ANY_OFFSET, timeoutMs)),
        (offset, failure) -> {
          appending = false;
          onAppendCompleted(failure);
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

  private void onAppendCompleted(@Nullable PlatformException failure) {
    if (failure == null || storeUnavailable) {
      return;
    }
    storeUnavailable = true;
    logger.atInfo().log("submissions: Store does not answer: %s", failure.getMessage());
    queue.forEach(pending -> pending.stored().completeExceptionally(notSent()));
    queue = new ArrayList<>();
    loop.schedule(PROBE_INTERVAL_MS, this::probe);
  }

  private static PlatformException notSent() {
    return new PlatformException(
        PlatformException.Type.REFUSED, "not sent because the store does not answer");
  }

  private void probe() {
    loop.then(
        log.append(
            KeyedStream.HOSTS, List.of(probe), null, KeyedLogPort.ANY_OFFSET, PROBE_TIMEOUT_MS),
        (offset, failure) -> {
          if (failure != null) {
            loop.schedule(PROBE_INTERVAL_MS, this::probe);
            return;
          }
          storeUnavailable = false;
          logger.atInfo().log("submissions: Store answers again.");
        });
  }
}
