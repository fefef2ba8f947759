package org.hickorymoor.domain.workload;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class CrashToleranceTest {

  private final CrashTolerance tolerance = new CrashTolerance();

  private static long ns(long seconds) {
    return TimeUnit.SECONDS.toNanos(seconds);
  }

  @Test
  void weightOfTwoSufficesWhileNoWorkerCrashesByItself() {
    assertThat(tolerance.requiredWeight(ns(5))).isEqualTo(2);
  }

  @Test
  void eachUnexplainedCrashRequiresMoreUpToMaximum() {
    tolerance.recordUnexplainedCrash(ns(1));
    assertThat(tolerance.requiredWeight(ns(2))).isEqualTo(3);
    for (int i = 0; i < 10; i++) {
      tolerance.recordUnexplainedCrash(ns(2 + i));
    }
    assertThat(tolerance.requiredWeight(ns(12))).isEqualTo(4);
  }

  @Test
  void oldUnexplainedCrashesAreForgotten() {
    tolerance.recordUnexplainedCrash(ns(1));
    tolerance.recordUnexplainedCrash(ns(10));
    assertThat(tolerance.requiredWeight(ns(25))).isEqualTo(3);
    assertThat(tolerance.requiredWeight(ns(31))).isEqualTo(2);
  }
}
