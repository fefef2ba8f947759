package org.hickorymoor.daemon.shard;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkloadState;

/** Counters and latency histograms of a shard. Safe for use by several threads. */
public final class ShardMetrics {

  private final MetricRegistry registry;
  private final Histogram storedMs;
  private final Histogram ledgerMs;
  private final Histogram firstStartMs;
  private final Histogram takeoverMs;
  private final Histogram adviceMs;

  /**
   * Makes the metrics.
   *
   * @param registry where they are registered
   */
  public ShardMetrics(MetricRegistry registry) {
    this.registry = registry;
    storedMs = registry.histogram("submissions.stored-ms");
    ledgerMs = registry.histogram("ledger.append-ms");
    firstStartMs = registry.histogram("jobs.first-start-ms");
    takeoverMs = registry.histogram("ownership.takeover-ms");
    adviceMs = registry.histogram("advice.answer-ms");
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Counts a request whose storing has ended, and how long it took. */
  void stored(Shard.StoreResult how, long tookNs) {
    registry.counter("submissions." + lower(how)).inc();
    storedMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }

  /** Counts a question of a caller. */
  void asked(boolean answered) {
    registry.counter(answered ? "questions.answered" : "questions.unanswered").inc();
  }

  /** Counts an append to the ledger that was answered. */
  void ledgerStored(long tookNs) {
    ledgerMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }

  /** Counts an order that did not start its run. */
  void notStarted(Outcome why) {
    registry.counter("starts.refused." + lower(why)).inc();
  }

  /** Counts a run that has ended. */
  void ended(TerminationReason how) {
    registry.counter("runs." + lower(how)).inc();
  }

  /** Counts a run that is gone without a known end. */
  void gone() {
    registry.counter("runs.gone").inc();
  }

  /** Counts an order to start a run. */
  void started() {
    registry.counter("starts.sent").inc();
  }

  /** Counts a job whose first task has started. */
  void firstStart(long waitedMs) {
    firstStartMs.update(waitedMs);
  }

  /** Counts a job that has ended. */
  void jobEnded(WorkloadState how) {
    registry.counter("jobs." + lower(how)).inc();
  }

  /** Counts a takeover. */
  void tookOver(long tookMs) {
    takeoverMs.update(tookMs);
  }

  /** Counts a call for approvals. */
  void advised(boolean answered, long tookNs) {
    registry.counter(answered ? "advice.answered" : "advice.unanswered").inc();
    adviceMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }
}
