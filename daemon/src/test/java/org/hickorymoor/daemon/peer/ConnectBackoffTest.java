package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ConnectBackoffTest {

  private final ConnectBackoff backoff = new ConnectBackoff(50, 400);

  @Test
  void firstAttemptIsImmediate() {
    assertThat(backoff.remainingMs(0)).isEqualTo(0);
  }

  @Test
  void waitDoublesUpToMaximum() {
    for (long limitMs : new long[] {50, 100, 200, 400, 400}) {
      backoff.recordFailure(0);
      assertThat(backoff.remainingMs(0)).isAtLeast(limitMs / 2);
      assertThat(backoff.remainingMs(0)).isAtMost(limitMs);
    }
  }

  @Test
  void successResetsWait() {
    backoff.recordFailure(0);
    backoff.recordSuccess();

    assertThat(backoff.remainingMs(0)).isEqualTo(0);
  }
}
