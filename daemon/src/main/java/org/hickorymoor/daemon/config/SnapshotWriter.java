package org.hickorymoor.daemon.config;

import com.google.common.flogger.FluentLogger;
import java.util.function.LongSupplier;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.domain.config.ConfigRecord;
import org.hickorymoor.protocol.platform.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Appends the state again before the log drops the records that made it.
 *
 * <p>Safe for use by several threads.
 */
final class SnapshotWriter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NO_OFFSET = -1;

  private final StreamContext context;
  private final LongSupplier wallClockMs;
  private final AppendRateLimiter budget;
  private final ConfigServiceSettings settings;
  private final ConfigStore store;

  // Guarded by this.
  private final SnapshotTimer timer;

  SnapshotWriter(
      StreamContext context,
      LongSupplier wallClockMs,
      AppendRateLimiter budget,
      ConfigServiceSettings settings,
      ConfigStore store) {
    this.context = context;
    this.wallClockMs = wallClockMs;
    this.budget = budget;
    this.settings = settings;
    this.store = store;
    this.timer =
        new SnapshotTimer(settings.recordsPerSnapshot(), context.nowMs(), context.random());
  }

  /** Notes a record of the stream. */
  synchronized void seen(ConfigRecord record) {
    if (record instanceof ConfigRecord.Snapshot snapshot) {
      timer.snapshotSeen(context.nowMs(), wallClockMs.getAsLong() - snapshot.atMs());
    } else if (record instanceof ConfigRecord.Publication) {
      timer.publicationSeen();
    }
  }

  /** Appends a snapshot if one is due. */
  void writeIfDue(long retentionMs) {
    if (!takeTurn(retentionMs)) {
      return;
    }
    // Empty while records are missed, and where there never were any.
    for (LogRecord record : store.recordsAfter(NO_OFFSET, wallClockMs.getAsLong())) {
      var unused =
          context
              .log()
              .append(ConfigService.STREAM, record.data(), settings.appendTimeoutMs())
              .whenComplete((offset, problem) -> appended(offset, problem));
    }
  }

  private synchronized boolean takeTurn(long retentionMs) {
    long nowMs = context.nowMs();
    if (!timer.isDue(nowMs, retentionMs) || budget.tryAcquire() > 0) {
      return false;
    }
    timer.snapshotSent(nowMs);
    return true;
  }

  private static void appended(@Nullable Long offset, @Nullable Throwable problem) {
    if (problem == null) {
      logger.atInfo().log("config: snapshot at offset %s", offset);
    } else {
      logger.atWarning().log("config: snapshot failed: %s", problem);
    }
  }
}
