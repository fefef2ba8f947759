package org.hickorymoor.daemon.config;

import com.google.common.flogger.FluentLogger;
import java.util.function.LongSupplier;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.domain.config.ConfigRecord;
import org.hickorymoor.protocol.platform.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Appends snapshots of the state before the log drops the records from which it was built.
 *
 * <p>Thread-safe.
 */
final class SnapshotWriter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NO_OFFSET = -1;

  private final StreamContext context;
  private final LongSupplier wallClockMs;
  private final AppendRateLimiter rateLimiter;
  private final ConfigServiceSettings settings;
  private final ConfigStore store;

  // Guarded by this.
  private final SnapshotTimer timer;

  SnapshotWriter(
      StreamContext context,
      LongSupplier wallClockMs,
      AppendRateLimiter rateLimiter,
      ConfigServiceSettings settings,
      ConfigStore store) {
    this.context = context;
    this.wallClockMs = wallClockMs;
    this.rateLimiter = rateLimiter;
    this.settings = settings;
    this.store = store;
    this.timer =
        new SnapshotTimer(settings.recordsPerSnapshot(), context.nowMs(), context.random());
  }

  /** Updates the timer for a record read from the stream. */
  synchronized void recordRead(ConfigRecord record) {
    if (record instanceof ConfigRecord.Snapshot snapshot) {
      timer.snapshotRead(context.nowMs(), wallClockMs.getAsLong() - snapshot.atMs());
    } else if (record instanceof ConfigRecord.Publication) {
      timer.publicationRead();
    }
  }

  /** Appends a snapshot if one is due. */
  void writeIfDue(long retentionMs) {
    if (!startIfDue(retentionMs)) {
      return;
    }
    // Empty if the state has a gap or the stream has no records yet.
    for (LogRecord record : store.recordsAfter(NO_OFFSET, wallClockMs.getAsLong())) {
      var unused =
          context
              .log()
              .append(ConfigService.STREAM, record.data(), settings.appendTimeoutMs())
              .whenComplete((offset, failure) -> appendCompleted(offset, failure));
    }
  }

  private synchronized boolean startIfDue(long retentionMs) {
    long nowMs = context.nowMs();
    if (!timer.isDue(nowMs, retentionMs) || rateLimiter.tryAcquire() > 0) {
      return false;
    }
    timer.snapshotAppended(nowMs);
    return true;
  }

  private static void appendCompleted(@Nullable Long offset, @Nullable Throwable failure) {
    if (failure == null) {
      logger.atInfo().log("config: snapshot appended at offset %s", offset);
    } else {
      logger.atWarning().log("config: append of a snapshot failed: %s", failure);
    }
  }
}
