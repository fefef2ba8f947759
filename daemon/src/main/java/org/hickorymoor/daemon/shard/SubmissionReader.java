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
 * Reads one lane of the submissions: all that is kept, then whatever follows. A record may be
 * handed over more than once. Belongs to the thread of the loop.
 */
final class SubmissionReader {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest wait for new submissions in one read. */
  private static final long LONG_POLL_MS = 1_000;

  /** Answers about unknown jobs need a look at the submissions that is no older than this. */
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

  /** Keeps what is read until {@link #stopBuffering}. */
  void startBuffering() {
    buffering = true;
  }

  /** Hands over what was kept, and from now on each record as it is read. */
  void stopBuffering() {
    buffering = false;
    buffered.forEach(this::deliver);
    buffered.clear();
  }

  /** Reads what is kept, runs a task, and goes on to follow. */
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

  /** Returns whether a job that was not seen here is not in this lane. */
  boolean isFresh() {
    return loop.nowNs() - lastReadNs < MAX_STALENESS_MS * NS_PER_MS;
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

  /**
   * Hands a record over; one that can't be handled must not keep those after it from being read.
   */
  private void deliver(StoredRecord stored) {
    if (buffering) {
      buffered.add(stored);
      return;
    }
    try {
      handler.accept(partition, stored);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "submissions: Record %s of %s at offset %d left out.",
          stored.key(), partition, stored.offset());
    }
  }
}
