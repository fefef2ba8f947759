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

  private static String metricName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Counts a request whose storing has ended, and how long it took. */
  void submissionStored(Shard.StoreResult result, long tookNs) {
    registry.counter("submissions." + metricName(result)).inc();
    storedMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }

  /** Counts a question of a caller. */
  void queryCompleted(boolean answered) {
    registry.counter(answered ? "questions.answered" : "questions.unanswered").inc();
  }

  /** Counts an append to the ledger that was answered. */
  void ledgerAppended(long tookNs) {
    ledgerMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }

  /** Counts an order that did not start its run. */
  void runNotStarted(Outcome outcome) {
    registry.counter("starts.refused." + metricName(outcome)).inc();
  }

  /** Counts a run that has ended. */
  void runEnded(TerminationReason result) {
    registry.counter("runs." + metricName(result)).inc();
  }

  /** Counts a run that is gone without a known end. */
  void runLost() {
    registry.counter("runs.gone").inc();
  }

  /** Counts an order to start a run. */
  void startSent() {
    registry.counter("starts.sent").inc();
  }

  /** Counts a job whose first task has started. */
  void jobStarted(long waitedMs) {
    firstStartMs.update(waitedMs);
  }

  /** Counts a job that has ended. */
  void jobEnded(WorkloadState result) {
    registry.counter("jobs." + metricName(result)).inc();
  }

  /** Counts a takeover. */
  void takeoverCompleted(long tookMs) {
    takeoverMs.update(tookMs);
  }

  /** Counts a call for approvals. */
  void approvalCallCompleted(boolean answered, long tookNs) {
    registry.counter(answered ? "advice.answered" : "advice.unanswered").inc();
    adviceMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }
}
