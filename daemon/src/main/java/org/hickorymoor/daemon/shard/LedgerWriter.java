package org.hickorymoor.daemon.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.Writer;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Stores the progress of jobs under the epoch of the coordinator, many changes per append.
 *
 * <p>While the store is fast, one append is in flight at a time and changes made meanwhile are
 * collected for the next one. While it is slow, further appends are sent without waiting, numbered
 * in sequence. Each append is repeated under its number until the store answers, so that it takes
 * effect exactly once. Callbacks run in the order of the appends. Not thread-safe; confined to the
 * event loop thread.
 */
final class LedgerWriter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Keeps an append below the store's limit of 2 MB. */
  private static final int MAX_BATCH_BYTES = 1_500_000;

  /** A slow store processes appends one at a time, so more of them would only wait there. */
  private static final int MAX_IN_FLIGHT = 2;

  /** Five times the usual latency of the store; a store that takes longer counts as slow. */
  private static final long PIPELINE_DELAY_MS = 25;

  /** Key of the record that starts an epoch; no job has this name. */
  private static final String EPOCH_KEY = "epoch";

  /** An append that the store has not answered yet. */
  private static final class Batch {
    private final long sequence;
    private final List<Entry> entries;
    private final List<Runnable> callbacks;
    private boolean stored;
    private boolean sentAsOldest;

    Batch(long sequence, List<Entry> entries, List<Runnable> callbacks) {
      this.sequence = sequence;
      this.entries = entries;
      this.callbacks = new ArrayList<>(callbacks);
    }
  }

  private final ShardEventLoop loop;
  private final ShardMetrics metrics;
  private final KeyedLogPort log;
  private final LatencyEstimator appendLatencies = new LatencyEstimator();
  private final String writerName;
  private final long epoch;
  private final Runnable onFenced;
  private final Map<String, Supplier<byte[]>> dirty = new LinkedHashMap<>();
  private final Deque<Batch> inFlight = new ArrayDeque<>();
  private List<Runnable> pendingCallbacks = new ArrayList<>();
  private long nextSequence;
  private long lastSentNs;
  private boolean flushScheduled;
  private boolean closed;
  private @Nullable PlatformException outage;

  LedgerWriter(
      ShardEventLoop loop,
      KeyedLogPort log,
      String writerName,
      long epoch,
      ShardMetrics metrics,
      Runnable onFenced) {
    this.loop = loop;
    this.metrics = metrics;
    this.log = log;
    this.writerName = writerName;
    this.epoch = epoch;
    this.onFenced = onFenced;
  }

  /** Fences writers of earlier epochs, then runs the callback. */
  void open(Runnable onOpened) {
    dirty.put(EPOCH_KEY, () -> Long.toString(epoch).getBytes(UTF_8));
    runAfterStored(onOpened);
  }

  /** Stops storing; pending callbacks never run. */
  void close() {
    closed = true;
    dirty.clear();
    pendingCallbacks.clear();
    inFlight.clear();
  }

  /** Marks the record of a key as changed; its content is computed when the append is built. */
  void markDirty(String key, Supplier<byte[]> content) {
    dirty.put(key, content);
    scheduleFlush();
  }

  /** Runs a task once every change marked so far is stored. */
  void runAfterStored(Runnable task) {
    pendingCallbacks.add(task);
    scheduleFlush();
  }

  private void scheduleFlush() {
    if (flushScheduled || closed || inFlight.size() >= MAX_IN_FLIGHT) {
      return;
    }
    flushScheduled = true;
    if (inFlight.isEmpty()) {
      loop.execute(this::flush);
      return;
    }
    long sinceMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - lastSentNs);
    loop.schedule(Math.max(1, PIPELINE_DELAY_MS - sinceMs), this::flush);
  }

  private void flush() {
    flushScheduled = false;
    if (closed || inFlight.size() >= MAX_IN_FLIGHT) {
      return;
    }
    List<Entry> entries = new ArrayList<>();
    int bytes = 0;
    var keys = dirty.entrySet().iterator();
    while (keys.hasNext() && bytes < MAX_BATCH_BYTES) {
      var next = keys.next();
      byte[] content = next.getValue().get();
      entries.add(new Entry(next.getKey(), content));
      bytes += content.length + next.getKey().length();
      keys.remove();
    }
    List<Runnable> callbacks = List.of();
    if (dirty.isEmpty()) {
      callbacks = pendingCallbacks;
      pendingCallbacks = new ArrayList<>();
    }
    Batch newest = inFlight.peekLast();
    if (!entries.isEmpty()) {
      Batch batch = new Batch(nextSequence++, entries, callbacks);
      inFlight.add(batch);
      lastSentNs = loop.nowNs();
      send(batch);
    } else if (newest != null) {
      newest.callbacks.addAll(callbacks);
    } else {
      runCallbacks(callbacks);
    }
    if (!dirty.isEmpty() || !pendingCallbacks.isEmpty()) {
      scheduleFlush();
    }
  }

  private void send(Batch batch) {
    if (closed || batch.stored) {
      return;
    }
    batch.sentAsOldest = inFlight.peekFirst() == batch;
    Writer writer = new Writer(writerName, epoch, batch.sequence);
    final long beganNs = loop.nowNs();
    loop.then(
        HedgedAppend.send(
            loop,
            appendLatencies,
            () ->
                log.append(
                    KeyedStream.LEDGER,
                    batch.entries,
                    writer,
                    KeyedLogPort.ANY_OFFSET,
                    ShardSettings.STORE_TIMEOUT_MS)),
        (offset, failure) -> {
          if (closed || batch.stored) {
            return;
          }
          if (failure == null) {
            metrics.ledgerAppended(loop.nowNs() - beganNs);
            onStored(batch);
          } else {
            onFailed(batch, failure);
          }
        });
  }

  private void onStored(Batch batch) {
    if (outage != null) {
      logger.atInfo().log(
          "ledger: Store answers again, epoch %d, sequence %d.", epoch, batch.sequence);
      outage = null;
    }
    // The store accepts a writer's appends in sequence, so all earlier ones are stored too.
    for (Batch earlier : inFlight) {
      if (earlier.sequence <= batch.sequence) {
        earlier.stored = true;
      }
    }
    for (Batch oldest = inFlight.peekFirst();
        oldest != null && oldest.stored;
        oldest = inFlight.peekFirst()) {
      inFlight.remove();
      runCallbacks(oldest.callbacks);
    }
    if (!dirty.isEmpty() || !pendingCallbacks.isEmpty()) {
      scheduleFlush();
    }
  }

  private static void runCallbacks(List<Runnable> callbacks) {
    callbacks.forEach(callback -> ShardEventLoop.runIsolated(callback, "a stored change"));
  }

  private void onFailed(Batch batch, PlatformException failure) {
    boolean overtookEarlier =
        failure.type() == PlatformException.Type.OUT_OF_ORDER && !batch.sentAsOldest;
    boolean fenced =
        failure.type() == PlatformException.Type.FENCED
            || (failure.type() == PlatformException.Type.OUT_OF_ORDER && batch.sentAsOldest);
    if (fenced) {
      logger.atInfo().log("ledger: Epoch %d is fenced: %s", epoch, failure.getMessage());
      close();
      onFenced.run();
      return;
    }
    if (outage == null && !overtookEarlier) {
      outage = failure;
      logger.atWarning().log(
          "ledger: Store does not answer, epoch %d, sequence %d: %s",
          epoch, batch.sequence, failure.getMessage());
    }
    loop.schedule(ShardSettings.STORE_RETRY_MS, () -> send(batch));
  }
}
