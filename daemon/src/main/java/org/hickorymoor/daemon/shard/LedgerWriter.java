package org.hickorymoor.daemon.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.Writer;
import org.hickorymoor.daemon.port.LogPart;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Stores the progress of jobs under the epoch of the coordinator, many changes to an append.
 *
 * <p>One append is in flight at a time. It is repeated with the same sequence number until the
 * store answers it, so that it takes effect exactly once. Belongs to the thread of the loop.
 */
final class LedgerWriter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Keeps an append below the store's limit of 2 MB. */
  private static final int MAX_BATCH_BYTES = 1_500_000;

  /** Key of the record that opens an epoch; no job has it. */
  private static final String EPOCH_KEY = "epoch";

  private final ShardLoop loop;
  private final ShardMetrics metrics;
  private final KeyedLogPort log;
  private final String writerName;
  private final long epoch;
  private final Runnable onFenced;
  private final Map<String, Supplier<byte[]>> dirty = new LinkedHashMap<>();
  private List<Runnable> waiting = new ArrayList<>();
  private long sequence;
  private boolean inFlight;
  private boolean closed;
  private @Nullable PlatformException outage;

  LedgerWriter(
      ShardLoop loop,
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

  /** Shuts out the writers of earlier epochs, then runs what follows. */
  void open(Runnable then) {
    dirty.put(EPOCH_KEY, () -> Long.toString(epoch).getBytes(UTF_8));
    afterStored(then);
  }

  /** Stops storing; what waits never runs. */
  void close() {
    closed = true;
    dirty.clear();
    waiting.clear();
  }

  /** Returns whether the store has not answered the last append. */
  boolean isOut() {
    return outage != null;
  }

  /** Notes that the record of a key has changed; its content is taken when it is sent. */
  void touch(String key, Supplier<byte[]> content) {
    dirty.put(key, content);
    flushSoon();
  }

  /** Runs a task once everything that was touched before is stored. */
  void afterStored(Runnable task) {
    waiting.add(task);
    flushSoon();
  }

  private void flushSoon() {
    if (!inFlight && !closed) {
      inFlight = true;
      loop.execute(this::flush);
    }
  }

  private void flush() {
    if (closed) {
      return;
    }
    List<Entry> batch = new ArrayList<>();
    int bytes = 0;
    var keys = dirty.entrySet().iterator();
    while (keys.hasNext() && bytes < MAX_BATCH_BYTES) {
      var next = keys.next();
      byte[] content = next.getValue().get();
      batch.add(new Entry(next.getKey(), content));
      bytes += content.length + next.getKey().length();
      keys.remove();
    }
    List<Runnable> stored = List.of();
    if (dirty.isEmpty()) {
      stored = waiting;
      waiting = new ArrayList<>();
    }
    if (batch.isEmpty()) {
      inFlight = false;
      stored.forEach(Runnable::run);
      return;
    }
    send(batch, stored);
  }

  private void send(List<Entry> batch, List<Runnable> stored) {
    Writer writer = new Writer(writerName, epoch, sequence);
    final long sentNs = loop.nowNs();
    loop.then(
        log.append(
            LogPart.LEDGER, batch, writer, KeyedLogPort.ANY_OFFSET, ShardSettings.STORE_TIMEOUT_MS),
        (offset, failure) -> {
          if (failure == null) {
            metrics.ledgerStored(loop.nowNs() - sentNs);
          }
          answered(batch, stored, failure);
        });
  }

  private void answered(
      List<Entry> batch, List<Runnable> stored, @Nullable PlatformException failure) {
    if (closed) {
      return;
    }
    if (failure == null) {
      if (outage != null) {
        logger.atInfo().log("ledger: Store is back, epoch %d, sequence %d.", epoch, sequence);
        outage = null;
      }
      sequence++;
      inFlight = false;
      stored.forEach(Runnable::run);
      if (!dirty.isEmpty() || !waiting.isEmpty()) {
        flushSoon();
      }
      return;
    }
    if (failure.type() == PlatformException.Type.FENCED) {
      logger.atInfo().log("ledger: Epoch %d is over: %s", epoch, failure.getMessage());
      close();
      onFenced.run();
      return;
    }
    if (outage == null) {
      outage = failure;
      logger.atWarning().log(
          "ledger: Store does not answer, epoch %d, sequence %d: %s",
          epoch, sequence, failure.getMessage());
    }
    loop.schedule(ShardSettings.STORE_RETRY_MS, () -> resend(batch, stored));
  }

  private void resend(List<Entry> batch, List<Runnable> stored) {
    if (!closed) {
      send(batch, stored);
    }
  }
}
