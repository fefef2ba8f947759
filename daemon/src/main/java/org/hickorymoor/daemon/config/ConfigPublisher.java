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
import org.hickorymoor.domain.config.PublicationOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Appends publications to the log and waits until their outcome can be read from the stream.
 *
 * <p>If an append fails or its reply is lost, the publication is appended again under the same id;
 * {@link org.hickorymoor.domain.config.ConfigState} accepts one copy at most. Thread-safe.
 */
final class ConfigPublisher {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Upper bound of the random delay before an append is retried. */
  private static final long MAX_RETRY_DELAY_MS = 500;

  private final StreamContext context;
  private final ConfigStore store;
  private final AppendRateLimiter rateLimiter;
  private final ConfigServiceSettings settings;
  private final Set<PendingPublish> pendingPublishes = ConcurrentHashMap.newKeySet();

  ConfigPublisher(
      StreamContext context,
      ConfigStore store,
      AppendRateLimiter rateLimiter,
      ConfigServiceSettings settings) {
    this.context = context;
    this.store = store;
    this.rateLimiter = rateLimiter;
    this.settings = settings;
    store.addUpdateCallback(() -> pendingPublishes.forEach(PendingPublish::completeIfKnown));
  }

  /** Appends a record, with retries, until its outcome is known or the publish times out. */
  CompletableFuture<PublishResult> publish(String record, String publishId, long expectedVersion) {
    PendingPublish pending = new PendingPublish(record, publishId, expectedVersion);
    pendingPublishes.add(pending);
    var unused = pending.result.whenComplete((result, failure) -> pendingPublishes.remove(pending));
    pending.append();
    if (!schedule(pending::expire, settings.publishTimeoutMs())) {
      pending.stop();
    }
    return pending.result;
  }

  /** Returns the outcome of a publication, or {@link PublishResult.Unknown}. */
  PublishResult outcome(String publishId, long expectedVersion) {
    return store.read(
        state -> {
          PublicationOutcome outcome = state.outcome(publishId, expectedVersion);
          if (outcome instanceof PublicationOutcome.Accepted accepted) {
            return new PublishResult.Accepted(accepted.version(), accepted.offset());
          }
          if (outcome instanceof PublicationOutcome.Conflict conflict) {
            return new PublishResult.Conflict(state.config().version(), conflict.winner());
          }
          return new PublishResult.Unknown(publishId);
        });
  }

  void stop() {
    pendingPublishes.forEach(PendingPublish::stop);
  }

  private boolean schedule(Runnable task, long delayMs) {
    try {
      var unused = context.executor().schedule(task, delayMs, MILLISECONDS);
      return true;
    } catch (RejectedExecutionException e) {
      logger.atFine().log("config: task not scheduled because the executor has shut down");
      return false;
    }
  }

  /** A publish that has no result yet. */
  private final class PendingPublish {

    private final String record;
    private final String publishId;
    private final long expectedVersion;
    private final CompletableFuture<PublishResult> result = new CompletableFuture<>();

    // Guarded by this.
    private boolean mayBeInLog;
    private boolean appending;
    private boolean expired;

    PendingPublish(String record, String publishId, long expectedVersion) {
      this.record = record;
      this.publishId = publishId;
      this.expectedVersion = expectedVersion;
    }

    void append() {
      if (!startAppend()) {
        return;
      }
      var unused =
          context
              .log()
              .append(ConfigService.STREAM, record, settings.appendTimeoutMs())
              .whenCompleteAsync((offset, failure) -> appendCompleted(failure), context.executor());
    }

    private synchronized boolean startAppend() {
      if (result.isDone() || expired) {
        return false;
      }
      long delayMs = rateLimiter.tryAcquire();
      if (delayMs > 0) {
        schedule(this::append, delayMs);
        return false;
      }
      appending = true;
      return true;
    }

    private void appendCompleted(@Nullable Throwable failure) {
      completeIfKnown();
      synchronized (this) {
        appending = false;
        mayBeInLog |= failure == null || mayHaveTakenEffect(failure);
        if (expired) {
          finish(PublishResult.Reason.LOG_UNAVAILABLE);
        }
      }
      if (failure != null) {
        logger.atInfo().log("config: append of publication %s failed: %s", publishId, failure);
        schedule(this::append, 1 + (long) (context.random().getAsDouble() * MAX_RETRY_DELAY_MS));
      }
    }

    void completeIfKnown() {
      PublishResult known = outcome(publishId, expectedVersion);
      if (!(known instanceof PublishResult.Unknown)) {
        result.complete(known);
      }
    }

    /**
     * Completes the result now or, if an append is in progress, when that append completes, which
     * is bounded by its own timeout.
     */
    void expire() {
      completeIfKnown();
      synchronized (this) {
        expired = true;
        if (!appending) {
          finish(PublishResult.Reason.LOG_UNAVAILABLE);
        }
      }
    }

    synchronized void stop() {
      mayBeInLog |= appending;
      finish(PublishResult.Reason.STOPPED);
    }

    private void finish(PublishResult.Reason reason) {
      result.complete(
          mayBeInLog
              ? new PublishResult.Unknown(publishId)
              : new PublishResult.NotPublished(reason));
    }
  }

  private static boolean mayHaveTakenEffect(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return !(cause instanceof PlatformException known) || known.mayHaveTakenEffect();
  }
}
