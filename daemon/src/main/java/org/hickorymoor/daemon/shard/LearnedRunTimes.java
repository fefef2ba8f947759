package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.domain.runtime.PredictionErrors;
import org.hickorymoor.domain.runtime.RunDescriptor;
import org.hickorymoor.domain.runtime.RunLocation;
import org.hickorymoor.domain.runtime.RunTimeDistribution;
import org.hickorymoor.domain.runtime.RunTimeModel;
import org.hickorymoor.domain.runtime.RunTimeSource;
import org.hickorymoor.domain.workload.RunTimes;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;

/**
 * Expected run times: learned for the queues where that has proven better, else as estimated by the
 * callers.
 *
 * <p>What is learned is kept in one record of the ledger, from which a successor goes on. Not
 * thread-safe; confined to the event loop thread.
 */
final class LearnedRunTimes implements RunTimes {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Key of the record in the ledger; no job has this name. */
  private static final String KEY = "runtimes";

  /** Interval at which the record is written while runs end. */
  private static final long STORE_INTERVAL_NS = TimeUnit.SECONDS.toNanos(5);

  /**
   * Minimum age at which cached times are dropped when the model has moved. A placement pass every
   * few milliseconds asks for thousands of steps, and a model that knows little moves with each
   * sample.
   */
  private static final long MIN_CACHE_AGE_NS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Bounds the cache, whose entries are dropped together. */
  private static final int MAX_CACHED_JOBS = 20_000;

  private final ShardEventLoop loop;
  private final LedgerWriter ledger;
  private final ShardMetrics metrics;
  private final RunTimeSource source;
  private final RunTimeModel model = new RunTimeModel();
  private final Map<String, long[]> cachedMs = new HashMap<>();
  private long cachedRevision;
  private long cachedSinceNs;
  private long storedNs;

  LearnedRunTimes(
      ShardEventLoop loop, LedgerWriter ledger, ShardMetrics metrics, RunTimeSource source) {
    this.loop = loop;
    this.ledger = ledger;
    this.metrics = metrics;
    this.source = source;
    this.cachedSinceNs = loop.nowNs();
    this.storedNs = loop.nowNs() - STORE_INTERVAL_NS;
  }

  /** Returns whether a record of the ledger holds learned run times. */
  static boolean isRecord(String key) {
    return key.equals(KEY);
  }

  /** Goes on with what an earlier coordinator has learned. */
  void restore(byte[] value) {
    if (value.length == 0) {
      return;
    }
    try {
      model.restore(RunTimeCodec.decode(value));
      logger.atInfo().log(
          "runtimes: Restored what was learned of %d images; %d queues use it.",
          model.images(), model.queuesLearned());
    } catch (MalformedRecordException e) {
      logger.atWarning().log(
          "runtimes: Ledger record %s is ignored, %d bytes: %s.",
          KEY, value.length, e.getMessage());
    }
    metrics.runTimesLearned(model.queuesLearned(), model.images());
  }

  @Override
  public long expectedMs(Submission submission, int stepIndex) {
    if (source == RunTimeSource.DECLARED) {
      return DECLARED.expectedMs(submission, stepIndex);
    }
    dropOutdated();
    return cachedMs
        .computeIfAbsent(submission.jobId(), unused -> predictSteps(submission))[stepIndex];
  }

  /** Returns the expected run time of a step of a job that is not accepted. Keeps nothing. */
  long previewMs(Submission submission, int stepIndex) {
    return source == RunTimeSource.DECLARED
        ? DECLARED.expectedMs(submission, stepIndex)
        : medianMs(submission, stepIndex, RunLocation.TYPICAL);
  }

  private void dropOutdated() {
    boolean outdated =
        model.revision() != cachedRevision && loop.nowNs() - cachedSinceNs >= MIN_CACHE_AGE_NS;
    if (outdated || cachedMs.size() >= MAX_CACHED_JOBS) {
      cachedMs.clear();
      cachedRevision = model.revision();
      cachedSinceNs = loop.nowNs();
    }
  }

  private long[] predictSteps(Submission submission) {
    long[] stepMs = new long[submission.spec().steps().size()];
    Arrays.setAll(stepMs, index -> medianMs(submission, index, RunLocation.TYPICAL));
    return stepMs;
  }

  private long medianMs(Submission submission, int stepIndex, RunLocation location) {
    RunDescriptor run = descriptor(submission, stepIndex);
    return isLearned(submission, stepIndex, run)
        ? model.predict(run, location).medianMs()
        : run.estimatedMs();
  }

  private static RunDescriptor descriptor(Submission submission, int stepIndex) {
    StepSpec step = submission.spec().steps().get(stepIndex);
    return new RunDescriptor(
        submission.policy().queue(),
        step.image(),
        submission.jobId(),
        stepIndex,
        Math.max(0, step.estimatedMs()));
  }

  /** Returns whether the learned time of a step is used rather than the estimate. */
  private boolean isLearned(Submission submission, int stepIndex, RunDescriptor run) {
    StepSpec step = submission.spec().steps().get(stepIndex);
    return source == RunTimeSource.LEARNED
        && !step.bestEffort()
        && !step.longRunning()
        && model.isLearnedBetter(run);
  }

  /**
   * Returns the expected time of a run at its place on a worker that is neither slow nor fast, to
   * compare its worker with.
   *
   * @return milliseconds; 0 if it is unknown
   */
  long expectedRunMs(Submission submission, Placement placement) {
    boolean remoteRack = RunObserver.location(placement).remoteRack();
    return medianMs(submission, placement.task().id().step(), new RunLocation("", remoteRack));
  }

  /**
   * Returns the time within which a run will end: with a probability of 90 % by the learned times,
   * or by the caller's estimate.
   *
   * @param elapsedMs how long it has run
   * @return milliseconds; empty if it is unknown
   */
  OptionalLong remainingMs(Submission submission, Placement placement, long elapsedMs) {
    int stepIndex = placement.task().id().step();
    RunDescriptor run = descriptor(submission, stepIndex);
    if (isLearned(submission, stepIndex, run)) {
      RunTimeDistribution expected = model.predict(run, RunObserver.location(placement));
      return OptionalLong.of(expected.remainingP90Ms(elapsedMs));
    }
    return run.hasEstimate()
        ? OptionalLong.of(Math.max(0, run.estimatedMs() - elapsedMs))
        : OptionalLong.empty();
  }

  /** Learns from a run that has succeeded. */
  void learnFinished(Submission submission, Placement placement, long runTimeMs) {
    RunDescriptor run = descriptor(submission, placement.task().id().step());
    final boolean wasLearned = model.isLearnedBetter(run);
    PredictionErrors errors = model.learnFinished(run, RunObserver.location(placement), runTimeMs);
    metrics.runTimePredicted(errors);
    if (model.isLearnedBetter(run) != wasLearned) {
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "runtimes: Learned run times of queue %s are %s than the estimates.",
          run.queue(), wasLearned ? "no longer better" : "better");
    }
    onLearned(submission);
  }

  /** Learns from a run that was cut short after some time. */
  void learnCutShort(Submission submission, Placement placement, long elapsedMs) {
    RunDescriptor run = descriptor(submission, placement.task().id().step());
    model.learnCutShort(run, RunObserver.location(placement), elapsedMs);
    onLearned(submission);
  }

  /**
   * Drops the cached times of a job that is no longer open: if it was never stored, its ID may come
   * back with other steps.
   */
  void jobClosed(String jobId) {
    cachedMs.remove(jobId);
  }

  private void onLearned(Submission submission) {
    cachedMs.remove(submission.jobId());
    if (loop.nowNs() - storedNs >= STORE_INTERVAL_NS) {
      storedNs = loop.nowNs();
      ledger.markDirty(KEY, () -> RunTimeCodec.encode(model.state()));
      metrics.runTimesLearned(model.queuesLearned(), model.images());
    }
  }
}
