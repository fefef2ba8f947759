package org.hickorymoor.standins.worker;

import static com.google.common.truth.Truth.assertThat;

import org.hickorymoor.protocol.platform.Usage;
import org.junit.jupiter.api.Test;

final class UsageHistoryTest {

  @Test
  void returnsUsageAtEarlierTime() {
    UsageHistory history = new UsageHistory();
    history.set(100, 1, 2, 3, 90);
    history.set(200, 4, 5, 6, 190);

    assertThat(history.at(99)).isEqualTo(new Usage(0, 0, 0, 99));
    assertThat(history.at(199)).isEqualTo(new Usage(1, 2, 3, 199));
    assertThat(history.at(200)).isEqualTo(new Usage(4, 5, 6, 200));
  }
}
