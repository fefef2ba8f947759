package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class BodyVersionTest {

  @Test
  void newestVersionDeflatesLargeBodies() {
    byte[] packed = new byte[100_000];

    assertThat(BodyVersion.wrap(BodyVersion.NEWEST, packed).length).isLessThan(1_000);
    assertThat(BodyVersion.wrap(BodyVersion.OLDEST, packed)).isEqualTo(packed);
  }

  @Test
  void bodyThatInflatesBeyondLimitIsRejected() {
    byte[] body = BodyVersion.wrap(BodyVersion.NEWEST, new byte[100_000]);

    FrameException e =
        assertThrows(
            FrameException.class, () -> BodyVersion.unwrap(BodyVersion.NEWEST, body, 50_000));
    assertThat(e.type()).isEqualTo(FrameErrorType.TOO_LARGE);
  }
}
