package org.hickorymoor.daemon.stream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.codahale.metrics.Meter;
import com.google.common.flogger.FluentLogger;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Appends entries to a stream in batches, to reduce the number of appends.
 *
 * <pre>{@code
 * AppendRateLimiter rateLimiter = new AppendRateLimiter(20, 20, clockMs);
 * BatchAppender appender =
 *     new BatchAppender(context, "audit", incarnation, rateLimiter, AppenderSettings.DEFAULT);
 * appender.start();
 * CompletableFuture<Long> offset = appender.append("{\"who\":\"ada\"}", 5000);
 * appender.stop();
 * }</pre>
 *
 * <p>One append is in progress at a time; entries that are added meanwhile go into the next batch.
 * An append whose reply was lost is retried with the same {@link BatchId}, and readers drop all
 * copies but the first. The returned offset may therefore be that of a later copy; {@link
 * BatchListener} reports the position of the first.
 *
 * <p>Futures fail only with an {@link AppendFailedException}. Safe for use by several threads.
 * There must be one appender per stream and incarnation.
 */
public final class BatchAppender {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum size of a batch without its entries. */
  private static final int MAX_ENVELOPE_BYTES = 256;

  /** Interval between checks for expired entries. */
  private static final long EXPIRY_CHECK_INTERVAL_MS = 20;

  private final StreamContext context;
  private final String stream;
  private final String incarnation;
  private final AppendRateLimiter rateLimiter;
  private final AppenderSettings settings;
  private final Meter appendMeter;
  private final Meter failureMeter;
  private final Meter entryMeter;
  private final Object lock = new Object();

  // Guarded by lock.
  private final EntryQueue queue = new EntryQueue();
  private final ExponentialBackoff backoff;
  private @Nullable PendingBatch batch;
  private boolean appending;
  private boolean sendScheduled;
  private boolean expiryCheckScheduled;
  private boolean running;
  private long nextSequence;

  /**
   * Creates an appender.
   *
   * @param context log, executor, clock and metrics
   * @param stream name of the stream
   * @param incarnation id of this process, unique per start; must not contain a colon
   * @param rateLimiter rate limiter shared by all appenders of the process
   * @param settings limits and timeouts
   */
  public BatchAppender(
      StreamContext context,
      String stream,
      String incarnation,
      AppendRateLimiter rateLimiter,
      AppenderSettings settings) {
    this.context = requireNonNull(context, "context");
    this.stream = requireNonNull(stream, "stream");
    this.incarnation = new BatchId(incarnation, 0).incarnation();
    this.rateLimiter = requireNonNull(rateLimiter, "rateLimiter");
    this.settings = requireNonNull(settings, "settings");
    this.appendMeter = context.metrics().meter("stream." + stream + ".appends");
    this.failureMeter = context.metrics().meter("stream." + stream + ".appendFailures");
    this.entryMeter = context.metrics().meter("stream." + stream + ".entries");
    this.backoff =
        new ExponentialBackoff(settings.minBackoffMs(), settings.maxBackoffMs(), context.random());
  }

  /** Starts the appender. Has no effect if it is running. */
  public void start() {
    synchronized (lock) {
      running = true;
    }
  }

  /** Stops the appender; unconfirmed entries fail. */
  public void stop() {
    List<PendingEntry> queued;
    List<PendingEntry> maybeAppended;
    synchronized (lock) {
      running = false;
      queued = queue.takeAll();
      maybeAppended = batch == null ? List.of() : batch.unresolved();
      batch = null;
    }
    fail(queued, AppendFailedException.Type.STOPPED, false);
    fail(maybeAppended, AppendFailedException.Type.STOPPED, true);
  }

  /**
   * Appends an entry, with a timeout.
   *
   * @param json the entry, one JSON value
   * @param timeoutMs time after which the future fails
   * @return the offset of a record that contains the entry
   */
  public CompletableFuture<Long> append(String json, long timeoutMs) {
    return enqueue(json, context.nowMs() + timeoutMs);
  }

  /**
   * Appends an entry, retrying until it succeeds or the appender is stopped. Fails at once if the
   * entry is too large or the queue is full.
   *
   * @param json the entry, one JSON value
   * @return the offset of a record that contains the entry
   */
  public CompletableFuture<Long> appendWithoutTimeout(String json) {
    return enqueue(json, PendingEntry.NO_DEADLINE_MS);
  }

  private CompletableFuture<Long> enqueue(String json, long deadlineMs) {
    // Invalid JSON would make the whole batch unreadable.
    String entry = JsonParser.parseString(json).toString();
    int sizeBytes = entry.getBytes(UTF_8).length + 1;
    CompletableFuture<Long> result = new CompletableFuture<>();
    PendingEntry pending = new PendingEntry(entry, sizeBytes, deadlineMs, result);
    AppendFailedException.@Nullable Type refusal = tryEnqueue(pending);
    if (refusal != null) {
      fail(List.of(pending), refusal, false);
      return result;
    }
    entryMeter.mark();
    scheduleExpiryCheck();
    sendNext();
    return result;
  }

  private AppendFailedException.@Nullable Type tryEnqueue(PendingEntry entry) {
    if (entry.sizeBytes() > settings.maxBatchBytes() - MAX_ENVELOPE_BYTES) {
      return AppendFailedException.Type.TOO_LARGE;
    }
    synchronized (lock) {
      if (!running) {
        return AppendFailedException.Type.STOPPED;
      }
      if (waitingBytes() + entry.sizeBytes() > settings.maxQueuedBytes()) {
        return AppendFailedException.Type.QUEUE_FULL;
      }
      queue.add(entry);
      return null;
    }
  }

  private long waitingBytes() {
    return queue.sizeBytes() + (batch == null ? 0 : batch.sizeBytes());
  }

  /** Sends the next batch if there is one, no append is in progress and the rate limit permits. */
  private void sendNext() {
    PendingBatch next;
    synchronized (lock) {
      if (!running || appending || sendScheduled || (batch == null && queue.isEmpty())) {
        return;
      }
      long delayMs = rateLimiter.tryAcquire();
      if (delayMs > 0) {
        scheduleSend(delayMs);
        return;
      }
      next = batch == null ? createBatch() : batch;
      batch = next;
      appending = true;
    }
    appendMeter.mark();
    var unused =
        context
            .log()
            .append(stream, next.data(), settings.timeoutMs())
            .whenCompleteAsync(
                (offset, failure) -> onAppendCompleted(next, offset, failure), context.executor());
  }

  private PendingBatch createBatch() {
    BatchId id = new BatchId(incarnation, nextSequence);
    nextSequence++;
    return new PendingBatch(id, queue.take(settings.maxBatchBytes() - MAX_ENVELOPE_BYTES));
  }

  private void onAppendCompleted(
      PendingBatch sent, @Nullable Long offset, @Nullable Throwable failure) {
    if (offset == null) {
      onAppendFailed(sent, failure);
    } else {
      onAppendSucceeded(sent, offset);
    }
    sendNext();
  }

  private void onAppendSucceeded(PendingBatch sent, long offset) {
    List<PendingEntry> done;
    synchronized (lock) {
      appending = false;
      backoff.reset();
      done = sent.unresolved();
      batch = null;
    }
    done.forEach(entry -> entry.result().complete(offset));
  }

  private void onAppendFailed(PendingBatch sent, @Nullable Throwable failure) {
    failureMeter.mark();
    logger.atFine().log("stream: append to %s failed: %s", stream, failure);
    boolean maybeAppended = mayHaveTakenEffect(failure);
    synchronized (lock) {
      appending = false;
      if (batch == null) {
        return;
      }
      if (maybeAppended) {
        sent.markMaybeAppended();
      }
      if (!sent.mayBeInLog()) {
        queue.requeue(sent.unresolved());
        batch = null;
      }
      scheduleSend(backoff.nextMs());
    }
    failExpired();
  }

  private static boolean mayHaveTakenEffect(@Nullable Throwable failure) {
    @Nullable Throwable cause =
        failure instanceof CompletionException wrapper ? wrapper.getCause() : failure;
    return !(cause instanceof PlatformException known) || known.mayHaveTakenEffect();
  }

  private void scheduleSend(long delayMs) {
    sendScheduled = true;
    schedule(
        () -> {
          synchronized (lock) {
            sendScheduled = false;
          }
          sendNext();
        },
        delayMs);
  }

  private void scheduleExpiryCheck() {
    synchronized (lock) {
      if (expiryCheckScheduled) {
        return;
      }
      expiryCheckScheduled = true;
    }
    schedule(
        () -> {
          synchronized (lock) {
            expiryCheckScheduled = false;
          }
          failExpired();
        },
        EXPIRY_CHECK_INTERVAL_MS);
  }

  /** Fails the entries whose deadline has passed. Entries of a sent batch may be in the log. */
  private void failExpired() {
    List<PendingEntry> queued;
    List<PendingEntry> sent;
    boolean more;
    synchronized (lock) {
      long nowMs = context.nowMs();
      queued = queue.takeExpired(nowMs);
      sent = batch == null ? List.of() : takeExpiredFromBatch(batch, nowMs);
      more = batch != null || !queue.isEmpty();
    }
    fail(queued, AppendFailedException.Type.DEADLINE_PASSED, false);
    fail(sent, AppendFailedException.Type.DEADLINE_PASSED, true);
    if (more) {
      scheduleExpiryCheck();
    }
  }

  private List<PendingEntry> takeExpiredFromBatch(PendingBatch sent, long nowMs) {
    List<PendingEntry> expired = sent.takeExpired(nowMs);
    if (!appending && sent.unresolved().isEmpty()) {
      // No caller is waiting for the batch, so it is not retried.
      batch = null;
    }
    return expired;
  }

  private void schedule(Runnable task, long delayMs) {
    try {
      var unused = context.executor().schedule(task, delayMs, MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("stream: stopped appending to %s, executor is shut down", stream);
    }
  }

  private void fail(
      List<PendingEntry> entries, AppendFailedException.Type type, boolean mayBeInLog) {
    List<PendingEntry> all = new ArrayList<>(entries);
    for (PendingEntry entry : all) {
      String message =
          type + " appending an entry of " + entry.sizeBytes() + " bytes to stream " + stream;
      entry.result().completeExceptionally(new AppendFailedException(type, mayBeInLog, message));
    }
  }
}
