package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.Map;
import java.util.SplittableRandom;
import org.hickorymoor.domain.Resources;
import org.junit.jupiter.api.Test;

final class WorkloadEstimatorTest {

  private static final WorkloadKey HEAVY = new WorkloadKey("mill", "plate");
  private static final WorkloadKey LIGHT = new WorkloadKey("mill", "proof");
  private static final Resources DECLARED = TestFixtures.SMALL;

  private final WorkloadEstimator estimator = new WorkloadEstimator();

  @Test
  void distinguishesHeavyFromLightWorkloadsOnTheSameWorkers() {
    SplittableRandom random = new SplittableRandom(5);
    for (int i = 0; i < 200; i++) {
      int heavy = random.nextInt(1, 5);
      int light = random.nextInt(1, 5);
      Map<WorkloadKey, Resources> declared =
          Map.of(
              HEAVY,
              ResourceMath.multiply(DECLARED, heavy),
              LIGHT,
              ResourceMath.multiply(DECLARED, light));
      estimator.recordUsage(declared, heavy * 4_000 + light * 250, heavy * 4_096 + light * 256);
    }

    assertThat(estimator.expectedDemand(HEAVY, DECLARED).cpuMillis())
        .isIn(Range.closed(4_000, 4_800));
    assertThat(estimator.expectedDemand(LIGHT, DECLARED)).isEqualTo(DECLARED);
  }

  @Test
  void expectsDeclaredDemandOfUnknownWorkloads() {
    assertThat(estimator.expectedDemand(HEAVY, DECLARED)).isEqualTo(DECLARED);
  }

  @Test
  void relatesRunTimesToTheSameWorkload() {
    for (int i = 0; i < 8; i++) {
      estimator.recordRunTime(HEAVY, "w1", 1_000);
    }

    assertThat(estimator.relativeRunTime(HEAVY, 4_000)).isWithin(0.01).of(4);
    assertThat(estimator.relativeRunTime(LIGHT, 4_000)).isWithin(0.01).of(1);
  }
}
