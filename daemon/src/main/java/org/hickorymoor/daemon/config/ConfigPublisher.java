package org.hickorymoor.daemon.config;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.domain.config.ConfigVerdict;
import org.jspecify.annotations.Nullable;

/**
 * Appends publications and reads back what became of them.
 *
 * <p>A publication whose reply was lost is appended again under the same id; the state machine lets
 * one copy count at most. Safe for use by several threads.
 */
final class ConfigPublisher {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest pause before an append is repeated. */
  private static final long MAX_PAUSE_MS = 500;

  private final StreamContext context;
  private final ConfigStore store;
  private final AppendRateLimiter budget;
  private final ConfigServiceSettings settings;
  private final Set<Attempt> attempts = ConcurrentHashMap.newKeySet();

  ConfigPublisher(
      StreamContext context,
      ConfigStore store,
      AppendRateLimiter budget,
      ConfigServiceSettings settings) {
    this.context = context;
    this.store = store;
    this.budget = budget;
    this.settings = settings;
    store.addWatcher(() -> attempts.forEach(Attempt::lookUp));
  }

  /** Appends a record until its verdict is known or the time has passed. */
  CompletableFuture<PublishResult> publish(String record, String publishId, long expectedVersion) {
    Attempt attempt = new Attempt(record, publishId, expectedVersion);
    attempts.add(attempt);
    var unused = attempt.result.whenComplete((result, problem) -> attempts.remove(attempt));
    attempt.append();
    if (!schedule(attempt::giveUp, settings.publishTimeoutMs())) {
      attempt.stop();
    }
    return attempt.result;
  }

  /** Says what is known of a publication. */
  PublishResult outcome(String publishId, long expectedVersion) {
    return store.read(
        state -> {
          ConfigVerdict verdict = state.verdict(publishId, expectedVersion);
          if (verdict instanceof ConfigVerdict.Accepted accepted) {
            return new PublishResult.Accepted(accepted.version(), accepted.offset());
          }
          if (verdict instanceof ConfigVerdict.Conflict conflict) {
            return new PublishResult.Conflict(state.config().version(), conflict.winner());
          }
          return new PublishResult.Unknown(publishId);
        });
  }

  void stop() {
    attempts.forEach(Attempt::stop);
  }

  private boolean schedule(Runnable task, long delayMs) {
    try {
      var unused = context.executor().schedule(task, delayMs, MILLISECONDS);
      return true;
    } catch (RejectedExecutionException e) {
      logger.atFine().log("config: not scheduled, executor stopped");
      return false;
    }
  }

  /** One publish under way. */
  private final class Attempt {

    private final String record;
    private final String publishId;
    private final long expectedVersion;
    private final CompletableFuture<PublishResult> result = new CompletableFuture<>();

    // Guarded by this.
    private boolean mayStandInLog;
    private boolean appending;
    private boolean expired;

    Attempt(String record, String publishId, long expectedVersion) {
      this.record = record;
      this.publishId = publishId;
      this.expectedVersion = expectedVersion;
    }

    void append() {
      if (!mayAppend()) {
        return;
      }
      var unused =
          context
              .log()
              .append(ConfigService.STREAM, record, settings.appendTimeoutMs())
              .whenCompleteAsync((offset, problem) -> answered(problem), context.executor());
    }

    private synchronized boolean mayAppend() {
      if (result.isDone() || expired) {
        return false;
      }
      long delayMs = budget.tryAcquire();
      if (delayMs > 0) {
        schedule(this::append, delayMs);
        return false;
      }
      appending = true;
      return true;
    }

    private void answered(@Nullable Throwable problem) {
      lookUp();
      synchronized (this) {
        appending = false;
        mayStandInLog |= problem == null || mayHaveTakenEffect(problem);
        if (expired) {
          finish(PublishResult.Reason.LOG_UNAVAILABLE);
        }
      }
      if (problem != null) {
        logger.atInfo().log("config: append of %s failed: %s", publishId, problem);
        schedule(this::append, 1 + (long) (context.random().getAsDouble() * MAX_PAUSE_MS));
      }
    }

    void lookUp() {
      PublishResult known = outcome(publishId, expectedVersion);
      if (!(known instanceof PublishResult.Unknown)) {
        result.complete(known);
      }
    }

    /** Answers now, or once the append under way is answered, which takes a bounded time. */
    void giveUp() {
      lookUp();
      synchronized (this) {
        expired = true;
        if (!appending) {
          finish(PublishResult.Reason.LOG_UNAVAILABLE);
        }
      }
    }

    synchronized void stop() {
      mayStandInLog |= appending;
      finish(PublishResult.Reason.STOPPED);
    }

    private void finish(PublishResult.Reason reason) {
      result.complete(
          mayStandInLog
              ? new PublishResult.Unknown(publishId)
              : new PublishResult.NotPublished(reason));
    }
  }

  private static boolean mayHaveTakenEffect(Throwable problem) {
    Throwable cause =
        problem instanceof CompletionException && problem.getCause() != null
            ? problem.getCause()
            : problem;
    return !(cause instanceof PlatformException known) || known.mayHaveTakenEffect();
  }
}
