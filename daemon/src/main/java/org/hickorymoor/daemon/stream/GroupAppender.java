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
 * Appends many entries to a stream with few appends.
 *
 * <pre>{@code
 * AppendBudget budget = new AppendBudget(20, 20, clockMs);
 * GroupAppender appender =
 *     new GroupAppender(context, "audit", incarnation, budget, AppenderSettings.DEFAULT);
 * appender.start();
 * CompletableFuture<Long> offset = appender.append("{\"who\":\"ada\"}", 5000);
 * appender.stop();
 * }</pre>
 *
 * <p>One append is under way at a time; what comes meanwhile goes into the next. An append whose
 * reply was lost is repeated under the same {@link BatchId}, and readers drop all copies but the
 * first. So the returned offset is that of a copy: the entry counts from that offset on at the
 * latest, and {@link BatchListener} tells the exact place.
 *
 * <p>Every future fails with an {@link AppendFailedException} and with nothing else. Safe for use
 * by several threads. There must be one appender per stream and incarnation.
 */
public final class GroupAppender {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Bytes of a batch beside its entries, at most. */
  private static final int ENVELOPE_BYTES = 256;

  /** How often deadlines are looked at. */
  private static final long SWEEP_MS = 20;

  private final StreamContext context;
  private final String stream;
  private final String incarnation;
  private final AppendBudget budget;
  private final AppenderSettings settings;
  private final Meter appends;
  private final Meter failures;
  private final Meter entriesIn;
  private final Object lock = new Object();

  // Guarded by lock.
  private final EntryQueue queue = new EntryQueue();
  private final BackOff backOff;
  private @Nullable PendingBatch batch;
  private boolean appending;
  private boolean timerSet;
  private boolean sweepSet;
  private boolean running;
  private long nextSequence;

  /**
   * Makes an appender.
   *
   * @param context the log, timers and clock
   * @param stream name of the stream
   * @param incarnation name of this run of the process, unique and without any colon
   * @param budget limit shared by all appenders of the process
   * @param settings how to append
   */
  public GroupAppender(
      StreamContext context,
      String stream,
      String incarnation,
      AppendBudget budget,
      AppenderSettings settings) {
    this.context = requireNonNull(context, "context");
    this.stream = requireNonNull(stream, "stream");
    this.incarnation = new BatchId(incarnation, 0).incarnation();
    this.budget = requireNonNull(budget, "budget");
    this.settings = requireNonNull(settings, "settings");
    this.appends = context.metrics().meter("stream." + stream + ".appends");
    this.failures = context.metrics().meter("stream." + stream + ".appendFailures");
    this.entriesIn = context.metrics().meter("stream." + stream + ".entries");
    this.backOff = new BackOff(settings.minBackOffMs(), settings.maxBackOffMs(), context.random());
  }

  /** Starts appending. Has no effect on an appender that runs. */
  public void start() {
    synchronized (lock) {
      running = true;
    }
  }

  /** Stops appending; entries that still wait fail. */
  public void stop() {
    List<PendingEntry> queued;
    List<PendingEntry> inDoubt;
    synchronized (lock) {
      running = false;
      queued = queue.takeAll();
      inDoubt = batch == null ? List.of() : batch.waiting();
      batch = null;
    }
    fail(queued, AppendFailedException.Type.STOPPED, false);
    fail(inDoubt, AppendFailedException.Type.STOPPED, true);
  }

  /**
   * Appends an entry, and gives up after a time.
   *
   * @param json the entry, one JSON value
   * @param timeoutMs time after which the future fails
   * @return an offset from which on the entry stands in the log
   */
  public CompletableFuture<Long> append(String json, long timeoutMs) {
    return enqueue(json, context.nowMs() + timeoutMs);
  }

  /**
   * Appends an entry, and waits out any outage of the log.
   *
   * @param json the entry, one JSON value
   * @return an offset from which on the entry stands in the log
   */
  public CompletableFuture<Long> appendWaiting(String json) {
    return enqueue(json, PendingEntry.NO_DEADLINE_MS);
  }

  private CompletableFuture<Long> enqueue(String json, long deadlineMs) {
    // Text that is no JSON would spoil the whole batch.
    String entry = JsonParser.parseString(json).toString();
    int sizeBytes = entry.getBytes(UTF_8).length + 1;
    CompletableFuture<Long> result = new CompletableFuture<>();
    PendingEntry pending = new PendingEntry(entry, sizeBytes, deadlineMs, result);
    AppendFailedException.@Nullable Type refusal = admit(pending);
    if (refusal != null) {
      fail(List.of(pending), refusal, false);
      return result;
    }
    entriesIn.mark();
    scheduleSweep();
    pump();
    return result;
  }

  private AppendFailedException.@Nullable Type admit(PendingEntry entry) {
    if (entry.sizeBytes() > settings.maxBatchBytes() - ENVELOPE_BYTES) {
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

  /** Sends the next append if there is something to send, nothing under way, and a token. */
  private void pump() {
    PendingBatch next;
    synchronized (lock) {
      if (!running || appending || timerSet || (batch == null && queue.isEmpty())) {
        return;
      }
      long delayMs = budget.tryTake();
      if (delayMs > 0) {
        setTimer(delayMs);
        return;
      }
      next = batch == null ? formBatch() : batch;
      batch = next;
      appending = true;
    }
    appends.mark();
    var unused =
        context
            .log()
            .append(stream, next.data(), settings.timeoutMs())
            .whenCompleteAsync(
                (offset, problem) -> answered(next, offset, problem), context.executor());
  }

  private PendingBatch formBatch() {
    BatchId id = new BatchId(incarnation, nextSequence);
    nextSequence++;
    return new PendingBatch(id, queue.take(settings.maxBatchBytes() - ENVELOPE_BYTES));
  }

  private void answered(PendingBatch sent, @Nullable Long offset, @Nullable Throwable problem) {
    if (offset == null) {
      failed(sent, problem);
    } else {
      succeeded(sent, offset);
    }
    pump();
  }

  private void succeeded(PendingBatch sent, long offset) {
    List<PendingEntry> done;
    synchronized (lock) {
      appending = false;
      backOff.reset();
      done = sent.waiting();
      batch = null;
    }
    done.forEach(entry -> entry.result().complete(offset));
  }

  private void failed(PendingBatch sent, @Nullable Throwable problem) {
    failures.mark();
    logger.atFine().log("stream: append to %s failed: %s", stream, problem);
    boolean inDoubt = mayHaveTakenEffect(problem);
    synchronized (lock) {
      appending = false;
      if (batch == null) {
        return;
      }
      if (inDoubt) {
        sent.markInDoubt();
      }
      if (!sent.mayStandInLog()) {
        queue.putBack(sent.waiting());
        batch = null;
      }
      setTimer(backOff.nextMs());
    }
    sweep();
  }

  private static boolean mayHaveTakenEffect(@Nullable Throwable problem) {
    @Nullable Throwable cause =
        problem instanceof CompletionException wrapper ? wrapper.getCause() : problem;
    return !(cause instanceof PlatformException known) || known.mayHaveTakenEffect();
  }

  private void setTimer(long delayMs) {
    timerSet = true;
    schedule(
        () -> {
          synchronized (lock) {
            timerSet = false;
          }
          pump();
        },
        delayMs);
  }

  private void scheduleSweep() {
    synchronized (lock) {
      if (sweepSet) {
        return;
      }
      sweepSet = true;
    }
    schedule(
        () -> {
          synchronized (lock) {
            sweepSet = false;
          }
          sweep();
        },
        SWEEP_MS);
  }

  /** Fails the entries whose deadline has passed. */
  private void sweep() {
    List<PendingEntry> queued;
    List<PendingEntry> sent;
    boolean more;
    synchronized (lock) {
      long nowMs = context.nowMs();
      queued = queue.takeExpired(nowMs);
      sent = batch == null ? List.of() : expireBatch(batch, nowMs);
      more = batch != null || !queue.isEmpty();
    }
    fail(queued, AppendFailedException.Type.DEADLINE_PASSED, false);
    fail(sent, AppendFailedException.Type.DEADLINE_PASSED, true);
    if (more) {
      scheduleSweep();
    }
  }

  private List<PendingEntry> expireBatch(PendingBatch sent, long nowMs) {
    List<PendingEntry> expired = sent.takeExpired(nowMs);
    if (!appending && sent.waiting().isEmpty()) {
      // Nobody waits for it: spend no more appends on it.
      batch = null;
    }
    return expired;
  }

  private void schedule(Runnable task, long delayMs) {
    try {
      var unused = context.executor().schedule(task, delayMs, MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("stream: %s no longer appended to, executor stopped", stream);
    }
  }

  private void fail(
      List<PendingEntry> entries, AppendFailedException.Type type, boolean mayStandInLog) {
    List<PendingEntry> all = new ArrayList<>(entries);
    for (PendingEntry entry : all) {
      String message =
          type + " for an entry of " + entry.sizeBytes() + " bytes to stream " + stream;
      entry.result().completeExceptionally(new AppendFailedException(type, mayStandInLog, message));
    }
  }
}
