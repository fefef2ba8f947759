package org.hickorymoor.domain.customer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.junit.jupiter.api.Test;

final class DominantSharesTest {

  private static final long SECOND_NS = 1_000_000_000;
  private static final Map<String, ResourceTotals> CAPACITY =
      Map.of("pool", new ResourceTotals(100, 100, 10));

  private final CustomerPolicy small = new CustomerPolicy("small", 1, Resources.NONE);
  private final CustomerPolicy large = new CustomerPolicy("large", 3, Resources.NONE);
  private final DominantShares shares = new DominantShares();

  /** Begins a pass in which both customers have steps that could start. */
  private void beginPass(long nowNs) {
    shares.markReady(small, "pool", nowNs);
    shares.markReady(large, "pool", nowNs);
    shares.beginPass(CAPACITY, nowNs);
  }

  /** Load: one customer takes all accelerators for 5 s. Guards against a burst held for ever. */
  @Test
  void burstIsPaidBackAndForgotten() {
    beginPass(0);
    ResourceTotals burst = new ResourceTotals(10, 10, 10);
    shares.add(small, "pool", burst, 0);
    beginPass(1);
    assertThat(shares.isAboveShare(small, "pool", 1)).isFalse();

    beginPass(5 * SECOND_NS);
    assertThat(shares.isAboveShare(small, "pool", 5 * SECOND_NS)).isTrue();
    shares.remove(small, "pool", burst, 5 * SECOND_NS);
    beginPass(6 * SECOND_NS);
    assertThat(shares.isAboveShare(small, "pool", 6 * SECOND_NS)).isTrue();
    assertThat(shares.isAboveShare(large, "pool", 6 * SECOND_NS)).isFalse();

    beginPass(11 * SECOND_NS);
    assertThat(shares.isAboveShare(small, "pool", 11 * SECOND_NS)).isFalse();
    shares.beginPass(CAPACITY, 70 * SECOND_NS);
    shares.beginPass(CAPACITY, 70 * SECOND_NS);
    shares.removeIdle(70 * SECOND_NS);
    assertThat(shares.isEmpty()).isTrue();
  }

  /** Guards against weights that don't count, and against weights of customers without work. */
  @Test
  void entitlementIsWeightAmongCustomersWithWork() {
    beginPass(0);
    shares.add(large, "pool", new ResourceTotals(70, 0, 0), 0);
    shares.add(small, "pool", new ResourceTotals(30, 0, 0), 0);
    beginPass(60 * SECOND_NS);
    assertThat(shares.isAboveShare(large, "pool", 60 * SECOND_NS)).isFalse();
    assertThat(shares.isAboveShare(small, "pool", 60 * SECOND_NS)).isTrue();

    shares.remove(large, "pool", new ResourceTotals(70, 0, 0), 60 * SECOND_NS);
    shares.beginPass(CAPACITY, 61 * SECOND_NS);
    shares.beginPass(CAPACITY, 61 * SECOND_NS);
    assertThat(shares.isAboveShare(small, "pool", 61 * SECOND_NS)).isFalse();
  }

  /** Guards against a successor that treats a customer with all workers as within its share. */
  @Test
  void averageStartsAtUseThatIsAdopted() {
    shares.add(small, "pool", new ResourceTotals(80, 0, 0), 0);
    shares.beginPass(Map.of(), 1);
    beginPass(2);

    assertThat(shares.averageShare("small", 2)).isWithin(1e-6).of(0.8);
    assertThat(shares.isAboveShare(small, "pool", 2)).isTrue();
  }
}
