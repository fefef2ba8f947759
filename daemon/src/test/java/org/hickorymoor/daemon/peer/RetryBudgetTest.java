package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  @Test
  void initialBudgetIsExhausted() {
    RetryBudget budget = new RetryBudget(0.1, 3);

    long granted = IntStream.range(0, 10).filter(i -> budget.tryRetry()).count();

    assertThat(granted).isEqualTo(3);
  }

  @Test
  void retriesAreLimitedToShareOfCalls() {
    RetryBudget budget = new RetryBudget(0.25, 2);

    long granted =
        IntStream.range(0, 1_000)
            .filter(
                i -> {
                  budget.recordCall();
                  return budget.tryRetry();
                })
            .count();

    assertThat(granted).isAtMost(252);
    assertThat(granted).isAtLeast(249);
  }
}
