package org.hickorymoor.domain.lease;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class DomainAuthorityTest {

  @Test
  void endsWhenHalfOfTheWorkersAreNoLongerHeld() {
    assertThat(DomainAuthority.untilMs(List.of(10L, 30L, 20L, 40L), 5)).isEqualTo(20);
  }

  @Test
  void halfOfTheWorkersIsNotEnough() {
    assertThat(DomainAuthority.untilMs(List.of(10L, 30L), 4)).isEqualTo(Long.MIN_VALUE);
  }
}
