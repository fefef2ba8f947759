package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class BackoffTest {

  private final Backoff backoff = new Backoff(50, 400);

  @Test
  void firstConnectNeedsNoWait() {
    assertThat(backoff.remainingMs(0)).isEqualTo(0);
  }

  @Test
  void waitDoublesUpToTheLimit() {
    for (long limitMs : new long[] {50, 100, 200, 400, 400}) {
      backoff.failed(0);
      assertThat(backoff.remainingMs(0)).isAtLeast(limitMs / 2);
      assertThat(backoff.remainingMs(0)).isAtMost(limitMs);
    }
  }

  @Test
  void successEndsTheWait() {
    backoff.failed(0);
    backoff.succeeded();

    assertThat(backoff.remainingMs(0)).isEqualTo(0);
  }
}
