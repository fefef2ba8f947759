package org.hickorymoor.daemon.shard;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.domain.runtime.PredictionErrors;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkloadState;

/** Counters and latency histograms of a shard. Safe for use by several threads. */
public final class ShardMetrics {

  /** Errors of predictions are recorded in hundredths of a factor of two. */
  private static final double ERROR_UNITS_PER_LOG = 100 / Math.log(2);

  private final MetricRegistry registry;
  private final Histogram storedMs;
  private final Histogram ledgerMs;
  private final Histogram firstStartMs;
  private final Histogram takeoverMs;
  private final Histogram adviceMs;
  private final Histogram lossDetectionMs;
  private final Histogram restartMs;

  /**
   * Registers the histograms; counters are registered when they are first incremented.
   *
   * @param registry registry of the process
   */
  public ShardMetrics(MetricRegistry registry) {
    this.registry = registry;
    storedMs = registry.histogram("submissions.stored-ms");
    ledgerMs = registry.histogram("ledger.append-ms");
    firstStartMs = registry.histogram("jobs.first-start-ms");
    takeoverMs = registry.histogram("ownership.takeover-ms");
    adviceMs = registry.histogram("advice.answer-ms");
    lossDetectionMs = registry.histogram("runs.loss-detection-ms");
    restartMs = registry.histogram("runs.restart-ms");
  }

  /** Returns the registry of the process, for metrics that come and go. */
  MetricRegistry registry() {
    return registry;
  }

  private static String metricName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Counts a request by the result of storing it and records how long that took. */
  void submissionStored(Shard.StoreResult result, long tookNs) {
    registry.counter("submissions." + metricName(result)).inc();
    storedMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }

  /** Counts a query of a caller. */
  void queryCompleted(boolean answered) {
    registry.counter(answered ? "questions.answered" : "questions.unanswered").inc();
  }

  /** Records the latency of an answered append to the ledger. */
  void ledgerAppended(long tookNs) {
    ledgerMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }

  /** Counts a start request after which the run was not started, by outcome. */
  void runNotStarted(Outcome outcome) {
    registry.counter("starts.refused." + metricName(outcome)).inc();
  }

  /** Counts a run that has ended, by how it ended. */
  void runEnded(TerminationReason result) {
    registry.counter("runs." + metricName(result)).inc();
  }

  /**
   * Counts a lost run, whose end is unknown.
   *
   * @param silentMs how long its worker had not answered this coordinator
   */
  void runLost(long silentMs) {
    registry.counter("runs.gone").inc();
    lossDetectionMs.update(silentMs);
  }

  /** Records how long a task that had lost its run waited until the next one started. */
  void runRestarted(long waitedMs) {
    restartMs.update(waitedMs);
  }

  /** Counts a run that was starting when its worker crashed. */
  void crashSuspected() {
    registry.counter("runs.crash-suspects").inc();
  }

  /** Counts a worker that has crashed, by whether a run that was starting may be the cause. */
  void workerCrashed(boolean wasStartingRuns) {
    registry.counter(wasStartingRuns ? "workers.crashed-starting" : "workers.crashed-idle").inc();
  }

  /** Counts a start request. */
  void startSent() {
    registry.counter("starts.sent").inc();
  }

  /** Records how long a job waited until its first task started. */
  void jobStarted(long waitedMs) {
    firstStartMs.update(waitedMs);
  }

  /** Counts a job that has ended, by final state. */
  void jobEnded(WorkloadState result) {
    registry.counter("jobs." + metricName(result)).inc();
  }

  /** Records how long a takeover took. */
  void takeoverCompleted(long tookMs) {
    takeoverMs.update(tookMs);
  }

  /** Counts a call for approvals and records how long it took. */
  void approvalCallCompleted(boolean answered, long tookNs) {
    registry.counter(answered ? "advice.answered" : "advice.unanswered").inc();
    adviceMs.update(TimeUnit.NANOSECONDS.toMillis(tookNs));
  }

  /** Records the errors of the predictions of a finished run. */
  void runTimePredicted(PredictionErrors errors) {
    registry
        .histogram("runtimes.error-learned")
        .update(Math.round(errors.learned() * ERROR_UNITS_PER_LOG));
    if (errors.hasEstimate()) {
      registry
          .histogram("runtimes.error-declared")
          .update(Math.round(errors.declared() * ERROR_UNITS_PER_LOG));
    }
  }

  /**
   * Sets how much is known of run times.
   *
   * @param queues queues whose learned run times are better than the estimates
   * @param images images with learned run times
   */
  void runTimesLearned(int queues, int images) {
    setGauge("runtimes.queues-learned", queues);
    setGauge("runtimes.images", images);
  }

  private void setGauge(String name, int value) {
    DefaultSettableGauge<Integer> gauge =
        registry.gauge(name, () -> new DefaultSettableGauge<>(value));
    gauge.setValue(value);
  }

  /** Counts a job about which this host asked the coordinator before storing it. */
  void admissionAsked() {
    registry.counter("admission.asked").inc();
  }

  /** Counts a job that this host has refused because its customer is under pressure. */
  void admissionRefused() {
    registry.counter("admission.refused").inc();
  }

  /** Counts a job that this host accepted because the coordinator has not answered. */
  void admissionUnanswered() {
    registry.counter("admission.unanswered").inc();
  }
}
