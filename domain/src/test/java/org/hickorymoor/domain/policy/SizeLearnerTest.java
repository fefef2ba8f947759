package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.Map;
import java.util.SplittableRandom;
import org.hickorymoor.domain.Resources;
import org.junit.jupiter.api.Test;

final class SizeLearnerTest {

  private static final WorkKey HEAVY = new WorkKey("mill", "plate");
  private static final WorkKey LIGHT = new WorkKey("mill", "proof");
  private static final Resources DECLARED = Examples.SMALL;

  private final SizeLearner sizes = new SizeLearner();

  @Test
  void tellsHeavyFromLightWorkOnTheSameWorkers() {
    SplittableRandom random = new SplittableRandom(5);
    for (int i = 0; i < 200; i++) {
      int heavy = random.nextInt(1, 5);
      int light = random.nextInt(1, 5);
      Map<WorkKey, Resources> declared =
          Map.of(HEAVY, Amounts.times(DECLARED, heavy), LIGHT, Amounts.times(DECLARED, light));
      sizes.used(declared, heavy * 4_000 + light * 250, heavy * 4_096 + light * 256);
    }

    assertThat(sizes.expected(HEAVY, DECLARED).cpuMillis()).isIn(Range.closed(4_000, 4_800));
    assertThat(sizes.expected(LIGHT, DECLARED)).isEqualTo(DECLARED);
  }

  @Test
  void expectsWhatIsDeclaredOfUnknownWork() {
    assertThat(sizes.expected(HEAVY, DECLARED)).isEqualTo(DECLARED);
  }

  @Test
  void relatesRunTimesToThoseOfTheSameWork() {
    for (int i = 0; i < 8; i++) {
      sizes.ran(HEAVY, "w1", 1_000);
    }

    assertThat(sizes.relativeRunTime(HEAVY, 4_000)).isWithin(0.01).of(4);
    assertThat(sizes.relativeRunTime(LIGHT, 4_000)).isWithin(0.01).of(1);
  }
}
