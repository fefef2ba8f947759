package org.hickorymoor.daemon.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class AppendBudgetTest {

  private final AtomicLong nowMs = new AtomicLong();
  private final AppendBudget budget = new AppendBudget(10, 2, nowMs::get);

  @Test
  void allowsBurstAndThenSteadyRate() {
    assertThat(budget.tryTake()).isEqualTo(0);
    assertThat(budget.tryTake()).isEqualTo(0);
    assertThat(budget.tryTake()).isEqualTo(100);
    nowMs.addAndGet(100);
    assertThat(budget.tryTake()).isEqualTo(0);
  }

  @Test
  void keepsNoMoreThanTheBurst() {
    nowMs.addAndGet(1_000_000);
    assertThat(budget.tryTake()).isEqualTo(0);
    assertThat(budget.tryTake()).isEqualTo(0);
    assertThat(budget.tryTake()).isEqualTo(100);
  }
}
