package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
 * <p>Records are keyed by job, so sending an append twice stores nothing twice. When an append
 * fails or is not answered for a while, the store is probed, as it may only be slow. While it does
 * not answer, requests that were never sent are refused immediately, as they are certainly not
 * stored. Thread-safe.
 */
final class SubmissionWriter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Keeps an append below the store's limit of 2 MB. */
  private static final int MAX_BATCH_BYTES = 1_000_000;

  /** Interval of the probes while the store does not answer. */
  private static final long PROBE_INTERVAL_MS = 150;

  /** A late append counts as lost only if the store answers a read within this time. */
  private static final long MAX_HEALTHY_READ_MS = 100;

  /** Timeout of a probe; a store that is 100 times slower than usual answers within it. */
  private static final long PROBE_TIMEOUT_MS = 600;

  /** Latency of appends from which the store counts as slow; it usually takes 4 to 70 ms. */
  private static final long SLOW_LATENCY_MS = 150;

  private record Pending(Entry entry, long deadlineNs, CompletableFuture<Void> stored) {}

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final LatencyEstimator appendLatencies = new LatencyEstimator();
  private final Supplier<KeyedStream> currentPartition;
  private List<Pending> queue = new ArrayList<>();

  /** Whether an append is in flight; records that arrive meanwhile wait for the next one. */
  private boolean appending;

  /** Whether the store is being probed; records that arrive meanwhile wait. */
  private boolean probing;

  private boolean storeUnavailable;

  /**
   * Creates a writer.
   *
   * @param currentPartition supplies the partition to append to
   */
  SubmissionWriter(ShardEventLoop loop, KeyedLogPort log, Supplier<KeyedStream> currentPartition) {
    this.loop = loop;
    this.log = log;
    this.currentPartition = currentPartition;
  }

  /**
   * Returns whether appends take so long that those of several hosts to one partition, which the
   * store processes one at a time, should go together. Called on the event loop thread.
   */
  boolean isStoreSlow() {
    return probing || appendLatencies.smoothedMs() >= SLOW_LATENCY_MS;
  }

  /**
   * Records the latency of an append that another host has made for this one, which shows when the
   * store has recovered. Called on the event loop thread.
   */
  void recordRelayedAppend(long latencyNs) {
    appendLatencies.record(latencyNs);
  }

  /**
   * Appends a record.
   *
   * @param key key of the record
   * @param value content of the record
   * @param timeoutMs timeout of the append, including the wait for earlier ones
   * @return completes when the record is stored; fails with a {@link PlatformException} within the
   *     timeout, which is a refusal if the record was never sent
   */
  CompletableFuture<Void> append(String key, byte[] value, long timeoutMs) {
    Pending pending =
        new Pending(
            new Entry(key, value),
            loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(timeoutMs),
            new CompletableFuture<>());
    loop.execute(
        () -> {
          if (storeUnavailable) {
            pending.stored().completeExceptionally(notSent());
            return;
          }
          queue.add(pending);
          loop.schedule(timeoutMs, () -> expire(pending, timeoutMs));
          flush();
        });
    return pending.stored();
  }

  /** Ends the wait of a record: it is refused if it was not sent, else it may be stored later. */
  private void expire(Pending pending, long timeoutMs) {
    if (pending.stored().isDone()) {
      return;
    }
    PlatformException failure =
        queue.remove(pending)
            ? notSent()
            : new PlatformException(
                PlatformException.Type.NO_RESPONSE,
                "append not answered within " + timeoutMs + " ms");
    pending.stored().completeExceptionally(failure);
  }

  /**
   * Returns the timeout of a batch, which is that of its record with the most time left: a record
   * whose time is nearly up must not make the outcome of the others unknown.
   */
  private long timeoutMs(List<Pending> batch) {
    long latestNs =
        batch.stream().mapToLong(pending -> pending.deadlineNs() - loop.nowNs()).max().orElse(0);
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(latestNs));
  }

  private void flush() {
    if (queue.isEmpty() || appending || probing) {
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
    long timeoutMs = timeoutMs(batch);
    loop.then(
        HedgedAppend.send(
            loop,
            appendLatencies,
            () -> log.append(partition, entries, null, KeyedLogPort.ANY_OFFSET, timeoutMs),
            this::isStoreHealthy),
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
          flush();
        });
  }

  private void onAppendCompleted(@Nullable PlatformException failure) {
    if (failure == null || storeUnavailable) {
      return;
    }
    logger.atInfo().log("submissions: Append failed: %s", failure.getMessage());
    if (!failure.mayHaveTakenEffect()) {
      refuseQueued();
    }
    startProbing();
  }

  private void startProbing() {
    if (!probing) {
      probing = true;
      probe();
    }
  }

  private void refuseQueued() {
    storeUnavailable = true;
    queue.forEach(pending -> pending.stored().completeExceptionally(notSent()));
    queue = new ArrayList<>();
  }

  private static PlatformException notSent() {
    return new PlatformException(
        PlatformException.Type.REFUSED, "not sent because the store does not answer");
  }

  /**
   * Checks by a read whether the answer to an append was lost: a healthy store answers the read
   * quickly. A slow one would only get more to do from a second append.
   */
  private CompletableFuture<Boolean> isStoreHealthy() {
    CompletableFuture<Boolean> healthy = new CompletableFuture<>();
    final long sentNs = loop.nowNs();
    readProbe(
        failure -> {
          long elapsedMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - sentNs);
          healthy.complete(failure == null && elapsedMs <= MAX_HEALTHY_READ_MS);
          if (failure != null && !probing) {
            probing = true;
            onProbeFailed(failure);
          }
        });
    return healthy;
  }

  private void probe() {
    readProbe(
        failure -> {
          if (failure != null) {
            onProbeFailed(failure);
            return;
          }
          probing = false;
          storeUnavailable = false;
          logger.atInfo().log("submissions: Store answers, resuming appends.");
          flush();
        });
  }

  private void onProbeFailed(PlatformException failure) {
    if (!storeUnavailable) {
      logger.atInfo().log("submissions: Store does not answer: %s", failure.getMessage());
      refuseQueued();
    }
    loop.schedule(PROBE_INTERVAL_MS, this::probe);
  }

  /** Probes by a read: appends to one partition would wait for those of all other hosts. */
  private void readProbe(Consumer<@Nullable PlatformException> handler) {
    loop.then(
        log.readNewest(KeyedStream.OWNERSHIP, null, PROBE_TIMEOUT_MS),
        (page, failure) -> handler.accept(failure));
  }
}
