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
  private static final long WAIT_MS = 1_000;

  /** Answers about unknown jobs need a look at the submissions that is no older than this. */
  private static final long FRESH_MS = 2_500;

  private static final long NS_PER_MS = 1_000_000;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final KeyedStream lane;
  private final BiConsumer<KeyedStream, StoredRecord> sink;
  private final List<StoredRecord> held = new ArrayList<>();
  private long nextOffset;
  private long readAtNs;
  private boolean closed;
  private boolean holding;

  SubmissionReader(ShardEventLoop loop, KeyedLogPort log, KeyedStream lane, BiConsumer<KeyedStream, StoredRecord> sink) {
    this.loop = loop;
    this.log = log;
    this.lane = lane;
    this.sink = sink;
  }

  /** Keeps what is read until {@link #release}. */
  void hold() {
    holding = true;
  }

  /** Hands over what was kept, and from now on each record as it is read. */
  void release() {
    holding = false;
    held.forEach(this::take);
    held.clear();
  }

  /** Reads what is kept, runs a task, and goes on to follow. */
  void start(Runnable loaded) {
    load(
        () -> {
          loaded.run();
          follow();
        });
  }

  void close() {
    closed = true;
  }

  /** Returns whether a job that was not seen here is not in this lane. */
  boolean isFresh() {
    return loop.nowNs() - readAtNs < FRESH_MS * NS_PER_MS;
  }

  private void load(Runnable then) {
    LatestRecordReader.read(
        loop,
        log,
        lane,
        new LatestRecordReader.Sink() {
          @Override
          public boolean isClosed() {
            return closed;
          }

          @Override
          public void onRecord(StoredRecord stored) {
            take(stored);
          }

          @Override
          public void onEnd(long endOffset) {
            nextOffset = endOffset;
            readAtNs = loop.nowNs();
            then.run();
          }
        });
  }

  private void follow() {
    if (!closed) {
      loop.then(
          log.read(lane, nextOffset, WAIT_MS, WAIT_MS + ShardSettings.STORE_TIMEOUT_MS),
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
    readAtNs = loop.nowNs();
    for (StoredRecord stored : chunk.records()) {
      take(stored);
      nextOffset = stored.offset() + 1;
    }
    follow();
  }

  /**
   * Hands a record over; one that can't be handled must not keep those after it from being read.
   */
  private void take(StoredRecord stored) {
    if (holding) {
      held.add(stored);
      return;
    }
    try {
      sink.accept(lane, stored);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "submissions: Record %s of %s at offset %d left out.",
          stored.key(), lane, stored.offset());
    }
  }
}
