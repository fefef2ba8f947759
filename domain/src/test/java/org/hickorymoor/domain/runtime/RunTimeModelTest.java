package org.hickorymoor.domain.runtime;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

final class RunTimeModelTest {

  private static final double SIGMA = 0.25;
  private static final double ESTIMATE_FACTOR = 2.5;

  private final Random random = new Random(17);
  private final RunTimeModel model = new RunTimeModel();
  private int jobs;

  private RunDescriptor job(String image, double estimatedMs) {
    return new RunDescriptor("queue", image, "job" + jobs++, 0, Math.round(estimatedMs));
  }

  private double logNormal(double medianMs) {
    return medianMs * Math.exp(SIGMA * random.nextGaussian());
  }

  private double imprecise(double ms) {
    return random.nextBoolean() ? ms * ESTIMATE_FACTOR : ms / ESTIMATE_FACTOR;
  }

  private void finish(RunDescriptor run, double ms) {
    var unused = model.learnFinished(run, RunLocation.TYPICAL, Math.round(ms));
  }

  private void train(int runs, String image, double medianMs, ToDoubleFunction<Double> estimate) {
    for (int i = 0; i < runs; i++) {
      double ms = logNormal(medianMs);
      finish(job(image, estimate.applyAsDouble(ms)), ms);
    }
  }

  private long medianMs(RunDescriptor run) {
    return model.predict(run, RunLocation.TYPICAL).medianMs();
  }

  private void assertMedian(RunDescriptor run, double expectedMs, double tolerance) {
    assertWithMessage("median of %s", run)
        .that(Math.log(medianMs(run) / expectedMs))
        .isWithin(Math.log(1 + tolerance))
        .of(0);
  }

  // Guards against estimates that are discarded before anything is known.
  @Test
  void estimateHoldsBeforeTheFirstRun() {
    assertMedian(job("image", 5_000), 5_000, 0.01);
    assertThat(model.isLearnedBetter(job("image", 5_000))).isFalse();
  }

  // Guards against a failure or an answer of 0 where the caller gives no estimate.
  @Test
  void answersWithoutEstimate() {
    assertThat(medianMs(job("image", 0))).isGreaterThan(0);

    train(60, "image", 3_000, ms -> 0);

    assertMedian(job("image", 0), 3_000, 0.15);
    assertThat(model.isLearnedBetter(job("image", 0))).isTrue();
  }

  // Guards against a new image that is predicted without regard to what its queue's callers do.
  @Test
  void firstRunOfImageUsesTheErrorOfTheQueue() {
    for (int i = 0; i < 20; i++) {
      train(15, "image" + i, 500 * (i + 1), ms -> 3 * ms);
    }

    assertMedian(job("new", 6_000), 2_000, 0.2);
  }

  // Guards against estimates that pull the prediction though they say nothing.
  @Test
  void uselessEstimateWeighsNothing() {
    train(300, "image", 2_000, ms -> Math.exp(Math.log(100) + 6 * random.nextDouble()));

    assertMedian(job("image", 100), 2_000, 0.2);
    assertMedian(job("image", 40_000), 2_000, 0.2);
    assertThat(model.isLearnedBetter(job("image", 100))).isTrue();
  }

  // Guards against learning that blurs what callers know exactly.
  @Test
  void exactEstimatesStayInForce() {
    for (int i = 0; i < 400; i++) {
      double ms = Math.exp(5 + 5 * random.nextDouble());
      finish(job("image" + i % 7, ms), ms);
    }

    assertMedian(job("image3", 700), 700, 0.02);
    assertMedian(job("new", 9_000), 9_000, 0.02);
    assertThat(model.isLearnedBetter(job("image3", 700))).isFalse();
  }

  // Guards against predictions that ignore how long the job's own tasks took.
  @Test
  void ownTasksOfTheStepShiftItsPrediction() {
    for (int i = 0; i < 40; i++) {
      double jobMs = 1_000 * Math.exp(random.nextGaussian());
      RunDescriptor step = job("image", 1_000);
      for (int task = 0; task < 5; task++) {
        finish(step, logNormal(jobMs) / 1.03);
      }
    }
    RunDescriptor step = job("image", 1_000);
    for (int task = 0; task < 5; task++) {
      finish(step, logNormal(4_000));
    }

    assertMedian(step, 4_000, 0.4);
    assertMedian(job("image", 1_000), 1_000, 0.5);
  }

  // Guards against a model that keeps to run times of the past.
  @Test
  void followsShiftOfTheRunTimes() {
    train(500, "image", 1_000, this::imprecise);
    train(600, "image", 3_000, this::imprecise);

    assertMedian(job("image", 3_000), 3_000, 0.25);
  }

  // Guards against predictions that are too short as only short runs finish.
  @Test
  void runsCutShortCountAsLonger() {
    RunTimeModel withoutCut = new RunTimeModel();
    for (int i = 0; i < 400; i++) {
      double ms = 1_000 * Math.exp(0.5 * random.nextGaussian());
      RunDescriptor run = job("image", 1_000);
      if (ms > 1_000) {
        model.learnCutShort(run, RunLocation.TYPICAL, 1_000);
      } else {
        finish(run, ms);
        var unused = withoutCut.learnFinished(run, RunLocation.TYPICAL, Math.round(ms));
      }
    }

    RunDescriptor next = job("image", 1_000);
    assertThat(withoutCut.predict(next, RunLocation.TYPICAL).medianMs()).isLessThan(800);
    assertMedian(next, 1_000, 0.15);
  }

  // Guards against runs that were stopped right away and count as evidence.
  @Test
  void runsStoppedAtOnceTellNothing() {
    train(100, "image", 5_000, this::imprecise);
    long beforeMs = medianMs(job("image", 5_000));
    for (int i = 0; i < 200; i++) {
      model.learnCutShort(job("image", 5_000), RunLocation.TYPICAL, 10);
    }

    assertThat(medianMs(job("image", 5_000))).isEqualTo(beforeMs);
  }

  @Test
  void learnsFactorsOfWorkerKindAndRemoteRack() {
    RunLocation slow = new RunLocation("slow", false);
    RunLocation remote = new RunLocation("fast", true);
    RunLocation fast = new RunLocation("fast", false);
    for (int i = 0; i < 600; i++) {
      RunLocation location = i % 4 == 0 ? slow : i % 4 == 1 ? remote : fast;
      double factor = location.equals(slow) ? 2 : location.remoteRack() ? 1.5 : 1;
      double ms = logNormal(1_000) * factor;
      var unused = model.learnFinished(job("image", 1_000), location, Math.round(ms));
    }
    RunDescriptor next = job("image", 1_000);
    double fastMs = model.predict(next, fast).medianMs();

    assertThat(model.predict(next, slow).medianMs() / fastMs).isWithin(0.3).of(2);
    assertThat(model.predict(next, remote).medianMs() / fastMs).isWithin(0.2).of(1.5);
  }

  // Guards against quantiles that don't cover what they promise, also for runs under way.
  @Test
  void quantilesCoverTheirShareOfTheRuns() {
    train(400, "image", 1_000, ms -> 1_000);
    RunTimeDistribution expected = model.predict(job("image", 1_000), RunLocation.TYPICAL);
    int within = 0;
    int survivors = 0;
    int remainingWithin = 0;
    for (int i = 0; i < 4_000; i++) {
      double ms = logNormal(1_000);
      within += ms <= expected.p90Ms() ? 1 : 0;
      if (ms > 900) {
        survivors++;
        remainingWithin += ms - 900 <= expected.remainingP90Ms(900) ? 1 : 0;
      }
    }

    assertThat(within / 4_000.0).isWithin(0.04).of(0.9);
    assertThat((double) remainingWithin / survivors).isWithin(0.05).of(0.9);
    assertThat(expected.remainingMedianMs(0)).isEqualTo(expected.medianMs());
    assertThat(expected.remainingP90Ms(Long.MAX_VALUE)).isAtLeast(0);
  }

  // Guards against memory that grows with the number of images, queues and jobs.
  @Test
  void keepsLimitedNumberOfImages() {
    for (int i = 0; i < 20_000; i++) {
      RunDescriptor run = new RunDescriptor("queue" + i % 900, "image" + i, "job" + i, 0, 1_000);
      finish(run, 1_000);
    }

    assertThat(model.images()).isEqualTo(RunTimeModel.MAX_IMAGES);
    assertThat(model.state().queues().size()).isAtMost(200);
    assertThat(model.state().images().get(0).image()).isEqualTo("image19999");
  }

  @Test
  void successorPredictsTheSame() {
    train(80, "image", 3_000, this::imprecise);
    RunTimeModel successor = new RunTimeModel();
    successor.restore(model.state());

    RunDescriptor next = job("image", 4_000);
    assertThat(successor.predict(next, RunLocation.TYPICAL))
        .isEqualTo(model.predict(next, RunLocation.TYPICAL));
    assertThat(successor.isLearnedBetter(next)).isTrue();
  }

  // Guards against cached predictions that are dropped with each sample, or never.
  @Test
  void revisionRisesOnlyWhenPredictionsMove() {
    train(300, "image", 1_000, this::imprecise);
    long known = model.revision();
    train(300, "image", 1_000, this::imprecise);
    long steady = model.revision();
    train(100, "image", 4_000, this::imprecise);

    assertThat(steady - known).isLessThan(20);
    assertThat(model.revision()).isGreaterThan(steady + 5);
  }
}
