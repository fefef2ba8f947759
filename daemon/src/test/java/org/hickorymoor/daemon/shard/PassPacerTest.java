package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class PassPacerTest {

  private final VirtualTime time = new VirtualTime(1);
  private final PassPacer pacer = new PassPacer(time.new HostEventLoop(), 4);

  @Test
  void shortPassesFollowAfterTheMinimumDelay() {
    pacer.passBegan();
    time.advance(1);
    pacer.passEnded();

    assertThat(pacer.delayMs()).isEqualTo(4);
  }

  /** Many waiting jobs on a weak host: passes must leave time for heartbeats. */
  @Test
  void longPassesTakeAtMostOneThirdOfTheTime() {
    long passesMs = 0;
    final long beganMs = time.nowMs();
    for (int i = 0; i < 20; i++) {
      time.advance(pacer.delayMs());
      pacer.passBegan();
      time.advance(300);
      pacer.passEnded();
      passesMs += 300;
    }
    time.advance(pacer.delayMs());

    assertThat(passesMs * 3).isAtMost(time.nowMs() - beganMs);
  }

  @Test
  void pauseCountsTowardsTheDelay() {
    pacer.passBegan();
    time.advance(100);
    pacer.passEnded();
    time.advance(150);

    assertThat(pacer.delayMs()).isEqualTo(50);
  }
}
