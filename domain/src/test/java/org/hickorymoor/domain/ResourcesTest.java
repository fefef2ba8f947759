package org.hickorymoor.domain;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class ResourcesTest {

  @Test
  void doesNotFitWhenOneResourceIsShort() {
    Resources free = new Resources(8, 64, 16_000, 32_768, 0);
    Resources demand = new Resources(1, 1, 500, 256, 1);

    assertThat(demand.fitsIn(free)).isFalse();
  }

  @Property(seed = "11")
  void minusUndoesPlus(@ForAll @IntRange(max = 1000) int a, @ForAll @IntRange(max = 1000) int b) {
    Resources left = new Resources(a, a, a, a, a);
    Resources right = new Resources(b, b, b, b, b);

    assertThat(left.plus(right).minus(right)).isEqualTo(left);
  }
}
