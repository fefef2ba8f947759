package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Chunk;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Reads one partition of the submissions: all stored records first, then new ones as they arrive. A
 * record may be delivered more than once. Not thread-safe; confined to the event loop thread.
 */
final class SubmissionReader {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long one read waits for new submissions. */
  private static final long LONG_POLL_MS = 1_000;

  /** Maximum age of the last read for an answer that a job does not exist. */
  private static final long MAX_STALENESS_MS = 2_500;

  private static final long NS_PER_MS = 1_000_000;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final KeyedStream partition;
  private final BiConsumer<KeyedStream, StoredRecord> handler;
  private final List<StoredRecord> buffered = new ArrayList<>();
  private long nextOffset;
  private long lastReadNs;
  private boolean closed;
  private boolean buffering;

  SubmissionReader(
      ShardEventLoop loop,
      KeyedLogPort log,
      KeyedStream partition,
      BiConsumer<KeyedStream, StoredRecord> handler) {
    this.loop = loop;
    this.log = log;
    this.partition = partition;
    this.handler = handler;
  }

  /** Buffers records until {@link #stopBuffering}. */
  void startBuffering() {
    buffering = true;
  }

  /** Delivers the buffered records, and from now on each record as it is read. */
  void stopBuffering() {
    buffering = false;
    buffered.forEach(this::deliver);
    buffered.clear();
  }

  /** Reads all stored records, runs the callback, then follows the partition. */
  void start(Runnable onLoaded) {
    load(
        () -> {
          onLoaded.run();
          follow();
        });
  }

  void close() {
    closed = true;
  }

  /**
   * Returns whether the partition was read recently enough that a job not seen here is not in it.
   */
  boolean isFresh() {
    return loop.nowNs() - lastReadNs < MAX_STALENESS_MS * NS_PER_MS;
  }

  /** Returns the time since the last answered read. */
  long readAgeMs() {
    return (loop.nowNs() - lastReadNs) / NS_PER_MS;
  }

  private void load(Runnable onLoaded) {
    LatestRecordReader.read(
        loop,
        log,
        partition,
        new LatestRecordReader.Handler() {
          @Override
          public boolean isClosed() {
            return closed;
          }

          @Override
          public void onRecord(StoredRecord stored) {
            deliver(stored);
          }

          @Override
          public void onComplete(long endOffset) {
            nextOffset = endOffset;
            lastReadNs = loop.nowNs();
            onLoaded.run();
          }
        });
  }

  private void follow() {
    if (!closed) {
      loop.then(
          log.read(
              partition, nextOffset, LONG_POLL_MS, LONG_POLL_MS + ShardSettings.STORE_TIMEOUT_MS),
          this::onRead);
    }
  }

  private void onRead(@Nullable Chunk chunk, @Nullable PlatformException failure) {
    if (closed) {
      return;
    }
    if (failure != null && failure.type() == PlatformException.Type.TRIMMED) {
      load(this::follow);
      return;
    }
    if (chunk == null) {
      loop.schedule(ShardSettings.STORE_RETRY_MS, this::follow);
      return;
    }
    lastReadNs = loop.nowNs();
    for (StoredRecord stored : chunk.records()) {
      deliver(stored);
      nextOffset = stored.offset() + 1;
    }
    follow();
  }

  /** Delivers a record. A record that can't be handled must not keep later ones from being read. */
  private void deliver(StoredRecord stored) {
    if (buffering) {
      buffered.add(stored);
      return;
    }
    try {
      handler.accept(partition, stored);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "submissions: Record %s of %s at offset %d can't be handled, skipped.",
          stored.key(), partition, stored.offset());
    }
  }
}
