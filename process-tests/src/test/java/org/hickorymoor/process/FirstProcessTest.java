package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class FirstProcessTest {
  @Test
  void runs() {
    assertThat(ProcessHandle.current().isAlive()).isTrue();
  }
}
