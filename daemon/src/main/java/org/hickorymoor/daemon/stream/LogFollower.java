package org.hickorymoor.daemon.stream;

import static java.util.Objects.requireNonNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.codahale.metrics.Meter;
import com.google.common.flogger.FluentLogger;
import java.util.concurrent.RejectedExecutionException;
import org.hickorymoor.daemon.stream.FollowerStatus.State;
import org.hickorymoor.protocol.platform.LogRecord;
import org.hickorymoor.protocol.platform.ReadReply;
import org.jspecify.annotations.Nullable;

/**
 * Reads one stream of the log continuously and delivers each record once, in offset order.
 *
 * <pre>{@code
 * LogFollower follower =
 *     new LogFollower(context, "config", 0, FollowerSettings.DEFAULT, listener);
 * follower.start();
 * follower.status().isCurrentWithin(nowMs, 2000);
 * follower.stop();
 * }</pre>
 *
 * <p>Reads are long polls, one at a time. Failed reads are retried with exponential backoff and
 * jitter. Safe for use by several threads; the listener is called by one thread at a time. An
 * exception thrown by the listener is logged and the record counts as delivered.
 */
public final class LogFollower {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Value of {@code maxCatchUpRecords} for reading all retained records. */
  private static final long UNLIMITED = Long.MAX_VALUE;

  /** Delay after an empty reply that the log did not delay, which avoids a busy loop. */
  private static final long MIN_POLL_INTERVAL_MS = 50;

  private final StreamContext context;
  private final String stream;
  private final FollowerSettings settings;
  private final StreamListener listener;
  private final Meter readMeter;
  private final Meter failureMeter;
  private final long maxCatchUpRecords;
  private final Object lock = new Object();
  private final ExponentialBackoff backoff;

  // Guarded by lock.
  private FollowerStatus status;
  private boolean running;
  private boolean hasReadReply;

  /**
   * Creates a follower that starts at an offset.
   *
   * @param context log, executor, clock and metrics
   * @param stream name of the stream
   * @param fromOffset first offset to read
   * @param settings how to read
   * @param listener receives the records and the status
   */
  public LogFollower(
      StreamContext context,
      String stream,
      long fromOffset,
      FollowerSettings settings,
      StreamListener listener) {
    this(context, stream, fromOffset, UNLIMITED, settings, listener);
  }

  private LogFollower(
      StreamContext context,
      String stream,
      long fromOffset,
      long maxCatchUpRecords,
      FollowerSettings settings,
      StreamListener listener) {
    this.maxCatchUpRecords = maxCatchUpRecords;
    this.context = requireNonNull(context, "context");
    this.stream = requireNonNull(stream, "stream");
    this.settings = requireNonNull(settings, "settings");
    this.listener = requireNonNull(listener, "listener");
    this.readMeter = context.metrics().meter("stream." + stream + ".reads");
    this.failureMeter = context.metrics().meter("stream." + stream + ".readFailures");
    this.backoff =
        new ExponentialBackoff(settings.minBackoffMs(), settings.maxBackoffMs(), context.random());
    this.status = new FollowerStatus(State.OUT, context.nowMs(), false, 0, fromOffset, fromOffset);
  }

  /**
   * Creates a follower that starts with the newest records and reports the skipped ones as a gap.
   *
   * @param context log, executor, clock and metrics
   * @param stream name of the stream
   * @param maxCatchUpRecords maximum number of records to read that precede the end of the stream
   *     at the first reply
   * @param settings how to read
   * @param listener receives the records and the status
   * @return the follower
   */
  public static LogFollower fromTail(
      StreamContext context,
      String stream,
      long maxCatchUpRecords,
      FollowerSettings settings,
      StreamListener listener) {
    return new LogFollower(context, stream, 0, maxCatchUpRecords, settings, listener);
  }

  /** Starts reading. Has no effect if the follower is running. */
  public void start() {
    synchronized (lock) {
      if (running) {
        return;
      }
      running = true;
    }
    scheduleRead(0);
  }

  /** Stops reading; no further listener calls are made after the one in progress. */
  public void stop() {
    synchronized (lock) {
      running = false;
    }
  }

  /**
   * Returns the current progress.
   *
   * @return a snapshot of the status
   */
  public FollowerStatus status() {
    synchronized (lock) {
      return status;
    }
  }

  private boolean isRunning() {
    synchronized (lock) {
      return running;
    }
  }

  private void scheduleRead(long delayMs) {
    try {
      var unused = context.executor().schedule(this::read, delayMs, MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("stream: stopped reading %s, executor is shut down", stream);
    }
  }

  private void read() {
    if (!isRunning()) {
      return;
    }
    long startedMs = context.nowMs();
    readMeter.mark();
    var unused =
        context
            .log()
            .read(
                stream,
                status().nextOffset(),
                settings.maxRecords(),
                settings.waitMs(),
                settings.waitMs() + settings.timeoutMs())
            .whenCompleteAsync(
                (reply, failure) -> onReadCompleted(startedMs, reply, failure), context.executor());
  }

  private void onReadCompleted(
      long startedMs, @Nullable ReadReply reply, @Nullable Throwable failure) {
    if (!isRunning()) {
      return;
    }
    if (reply == null) {
      onReadFailed(failure);
      return;
    }
    final long nextOffsetBefore = status().nextOffset();
    deliver(reply);
    backoff.reset();
    setState(State.LIVE, null);
    synchronized (lock) {
      status = status.withReadReply(startedMs, reply.endOffset());
    }
    notifyStatus();
    boolean advanced = status().nextOffset() > nextOffsetBefore;
    boolean repliedEarly = context.nowMs() - startedMs < MIN_POLL_INTERVAL_MS;
    scheduleRead(repliedEarly && !advanced ? MIN_POLL_INTERVAL_MS : 0);
  }

  private void onReadFailed(@Nullable Throwable failure) {
    failureMeter.mark();
    setState(State.OUT, failure);
    notifyStatus();
    scheduleRead(backoff.nextMs());
  }

  private void deliver(ReadReply reply) {
    skipTo(firstOffsetToDeliver(reply));
    for (LogRecord record : reply.records()) {
      if (!isRunning()) {
        return;
      }
      if (record.offset() >= status().nextOffset()) {
        skipTo(record.offset());
        advanceTo(record.offset() + 1);
        notifyListener(() -> listener.onRecord(record));
      }
    }
  }

  private long firstOffsetToDeliver(ReadReply reply) {
    synchronized (lock) {
      boolean first = !hasReadReply;
      hasReadReply = true;
      boolean limited = first && maxCatchUpRecords != UNLIMITED;
      return Math.max(reply.startOffset(), limited ? reply.endOffset() - maxCatchUpRecords : 0);
    }
  }

  private void skipTo(long offset) {
    long nextOffset = status().nextOffset();
    if (offset <= nextOffset) {
      return;
    }
    StreamGap gap = new StreamGap(nextOffset, offset);
    logger.atInfo().log("stream: %s: skipped offsets %s to %s", stream, nextOffset, offset - 1);
    advanceTo(offset);
    notifyListener(() -> listener.onGap(gap));
  }

  private void advanceTo(long offset) {
    synchronized (lock) {
      status = status.withNextOffset(offset);
    }
  }

  private void setState(State state, @Nullable Throwable failure) {
    boolean changed;
    synchronized (lock) {
      changed = status.state() != state;
      status = status.withState(state, context.nowMs());
    }
    if (changed) {
      logger.atInfo().log(
          "stream: %s is %s at offset %s%s",
          stream, state, status().nextOffset(), failure == null ? "" : ": " + failure);
    }
  }

  private void notifyStatus() {
    FollowerStatus now = status();
    notifyListener(() -> listener.onStatus(now));
  }

  private void notifyListener(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("stream: listener for %s threw an exception", stream);
    }
  }
}
