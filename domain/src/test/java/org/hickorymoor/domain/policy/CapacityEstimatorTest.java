package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hickorymoor.domain.job.TaskId;
import org.junit.jupiter.api.Test;

final class CapacityEstimatorTest {

  private static final UsageReport USAGE_WITHIN_LIMIT = new UsageReport(4_000, 8_192, 4, 1_000);
  private static final UsageReport USAGE_ABOVE_LIMIT = new UsageReport(4_000, 40_000, 4, 1_000);
  private static final double SLOW_RELATIVE_RUN_TIME = 4;

  private final CapacityEstimator estimator = new CapacityEstimator(1);

  @Test
  void decreasesOnUsageAboveTheDeclaredCapacity() {
    report(USAGE_ABOVE_LIMIT, 1_000);

    assertThat(estimator.learnedCapacity(TestFixtures.WORKER).slots()).isEqualTo(4);
  }

  @Test
  void decreasesWhenTasksAreSlow() {
    for (int i = 0; i < 3; i++) {
      estimator.runCompleted(SLOW_RELATIVE_RUN_TIME, true, 1_000);
    }

    assertThat(estimator.learnedCapacity(TestFixtures.WORKER).slots()).isLessThan(8);
  }

  @Test
  void increasesAfterTheCooldownUpToTheDeclaredCapacity() {
    report(USAGE_ABOVE_LIMIT, 1_000);
    report(USAGE_WITHIN_LIMIT, 2_000);
    assertThat(estimator.learnedCapacity(TestFixtures.WORKER).slots()).isEqualTo(4);
    for (int i = 0; i < 100; i++) {
      report(USAGE_WITHIN_LIMIT, 20_000 + i);
    }

    assertThat(estimator.learnedCapacity(TestFixtures.WORKER)).isEqualTo(TestFixtures.WORKER);
  }

  @Test
  void doesNotIncreaseWhileNoTaskIsWaiting() {
    CapacityEstimator idle = new CapacityEstimator(0.5);
    idle.usageReported(USAGE_WITHIN_LIMIT, TestFixtures.WORKER, List.of(), List.of(), false, 1_000);

    assertThat(idle.learnedCapacity(TestFixtures.WORKER).slots()).isEqualTo(4);
  }

  @Test
  void addsUsageOfAttemptsStartedAfterTheReport() {
    WorkerLoad worker = new WorkerLoad("w1", 1);
    QueuedJob job = new QueuedJob("j1", TestFixtures.batch("mill", 2));
    TaskId before = new TaskId("j1", 0, 1);
    TaskId after = new TaskId("j1", 1, 1);
    List<RunningAttempt> attempts =
        List.of(
            new RunningAttempt(before, job, worker, TestFixtures.SMALL, 100),
            new RunningAttempt(after, job, worker, TestFixtures.SMALL, 900));
    estimator.usageReported(
        new UsageReport(4_000, 8_192, 4, 500),
        TestFixtures.WORKER,
        attempts,
        List.of(),
        true,
        1_000);

    assertThat(estimator.observedUse().cpuMillis()).isEqualTo(5_000);
    assertThat(estimator.observedUse().memoryMb()).isEqualTo(9_216);
  }

  @Test
  void dropsReportsOlderThanTheLastOne() {
    report(USAGE_WITHIN_LIMIT, 5_000);

    assertThat(
            estimator.usageReported(
                USAGE_ABOVE_LIMIT, TestFixtures.WORKER, List.of(), List.of(), true, 4_000))
        .isFalse();
  }

  private void report(UsageReport report, long nowMs) {
    estimator.usageReported(report, TestFixtures.WORKER, List.of(), List.of(), true, nowMs);
  }
}
