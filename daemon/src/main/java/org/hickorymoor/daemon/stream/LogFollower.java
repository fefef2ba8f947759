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
 * Follows one stream of the log and delivers each of its records once, in offset order.
 *
 * <pre>{@code
 * LogFollower follower =
 *     new LogFollower(context, "config", 0, FollowerSettings.DEFAULT, listener);
 * follower.start();
 * follower.status().readWithin(nowMs, 2000);
 * follower.stop();
 * }</pre>
 *
 * <p>Reads are long polls, one at a time. While the log is out they are repeated with back-off and
 * jitter. Safe for use by several threads; the listener is called by one thread at a time. An
 * exception thrown by the listener is logged and the record counts as delivered.
 */
public final class LogFollower {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Catch-up of a follower that reads everything retained. */
  private static final long UNLIMITED = Long.MAX_VALUE;

  /** Pause after an empty answer that the log did not hold back. */
  private static final long EARLY_ANSWER_PAUSE_MS = 50;

  private final StreamContext context;
  private final String stream;
  private final FollowerSettings settings;
  private final StreamListener listener;
  private final Meter reads;
  private final Meter failures;
  private final long maxCatchUp;
  private final Object lock = new Object();
  private final BackOff backOff;

  // Guarded by lock.
  private FollowerStatus status;
  private boolean running;
  private boolean answeredBefore;

  /**
   * Makes a follower that has read nothing.
   *
   * @param context the log, timers and clock
   * @param stream name of the stream
   * @param fromOffset first offset wanted
   * @param settings how to read
   * @param listener is told what is read
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
      long maxCatchUp,
      FollowerSettings settings,
      StreamListener listener) {
    this.maxCatchUp = maxCatchUp;
    this.context = requireNonNull(context, "context");
    this.stream = requireNonNull(stream, "stream");
    this.settings = requireNonNull(settings, "settings");
    this.listener = requireNonNull(listener, "listener");
    this.reads = context.metrics().meter("stream." + stream + ".reads");
    this.failures = context.metrics().meter("stream." + stream + ".readFailures");
    this.backOff = new BackOff(settings.minBackOffMs(), settings.maxBackOffMs(), context.random());
    this.status = new FollowerStatus(State.OUT, context.nowMs(), false, 0, fromOffset, fromOffset);
  }

  /**
   * Makes a follower that begins with the newest records, and tells of a gap before them.
   *
   * @param context the log, timers and clock
   * @param stream name of the stream
   * @param maxCatchUp most records to read that stood in the stream at the first answer
   * @param settings how to read
   * @param listener is told what is read
   * @return the follower
   */
  public static LogFollower fromTail(
      StreamContext context,
      String stream,
      long maxCatchUp,
      FollowerSettings settings,
      StreamListener listener) {
    return new LogFollower(context, stream, 0, maxCatchUp, settings, listener);
  }

  /** Starts reading. Has no effect on a follower that runs. */
  public void start() {
    synchronized (lock) {
      if (running) {
        return;
      }
      running = true;
    }
    scheduleRead(0);
  }

  /** Stops reading; nothing is delivered after the call under way. */
  public void stop() {
    synchronized (lock) {
      running = false;
    }
  }

  /**
   * Returns where the follower stands.
   *
   * @return a snapshot
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
      logger.atFine().log("stream: %s no longer followed, executor stopped", stream);
    }
  }

  private void read() {
    if (!isRunning()) {
      return;
    }
    long startedMs = context.nowMs();
    reads.mark();
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
                (reply, problem) -> answered(startedMs, reply, problem), context.executor());
  }

  private void answered(long startedMs, @Nullable ReadReply reply, @Nullable Throwable problem) {
    if (!isRunning()) {
      return;
    }
    if (reply == null) {
      failed(problem);
      return;
    }
    final long positionBefore = status().nextOffset();
    deliver(reply);
    backOff.reset();
    enter(State.LIVE, null);
    synchronized (lock) {
      status = status.answered(startedMs, reply.endOffset());
    }
    tellStatus();
    boolean moved = status().nextOffset() > positionBefore;
    boolean early = context.nowMs() - startedMs < EARLY_ANSWER_PAUSE_MS;
    scheduleRead(early && !moved ? EARLY_ANSWER_PAUSE_MS : 0);
  }

  private void failed(@Nullable Throwable problem) {
    failures.mark();
    enter(State.OUT, problem);
    tellStatus();
    scheduleRead(backOff.nextMs());
  }

  private void deliver(ReadReply reply) {
    skipTo(firstWanted(reply));
    for (LogRecord record : reply.records()) {
      if (!isRunning()) {
        return;
      }
      if (record.offset() >= status().nextOffset()) {
        skipTo(record.offset());
        moveTo(record.offset() + 1);
        tell(() -> listener.onRecord(record));
      }
    }
  }

  private long firstWanted(ReadReply reply) {
    synchronized (lock) {
      boolean first = !answeredBefore;
      answeredBefore = true;
      boolean skips = first && maxCatchUp != UNLIMITED;
      return Math.max(reply.startOffset(), skips ? reply.endOffset() - maxCatchUp : 0);
    }
  }

  private void skipTo(long offset) {
    long nextOffset = status().nextOffset();
    if (offset <= nextOffset) {
      return;
    }
    StreamGap gap = new StreamGap(nextOffset, offset);
    logger.atInfo().log("stream: %s has no offsets %s to %s", stream, nextOffset, offset - 1);
    moveTo(offset);
    tell(() -> listener.onGap(gap));
  }

  private void moveTo(long offset) {
    synchronized (lock) {
      status = status.movedTo(offset);
    }
  }

  private void enter(State state, @Nullable Throwable problem) {
    boolean changed;
    synchronized (lock) {
      changed = status.state() != state;
      status = status.in(state, context.nowMs());
    }
    if (changed) {
      logger.atInfo().log(
          "stream: %s is %s at offset %s%s",
          stream, state, status().nextOffset(), problem == null ? "" : ": " + problem);
    }
  }

  private void tellStatus() {
    FollowerStatus now = status();
    tell(() -> listener.onStatus(now));
  }

  private void tell(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("stream: listener of %s failed", stream);
    }
  }
}
