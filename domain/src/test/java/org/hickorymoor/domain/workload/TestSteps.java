package org.hickorymoor.domain.workload;

import java.util.List;

/** Creates step specifications for tests. */
final class TestSteps {

  private TestSteps() {}

  static StepSpec step(
      int count, long estimatedMs, List<Integer> after, boolean gang, boolean longRunning) {
    return new StepSpec(
        count,
        1_000,
        512,
        0,
        estimatedMs,
        after,
        true,
        gang,
        false,
        null,
        null,
        0,
        false,
        longRunning,
        "",
        0,
        false,
        0);
  }
}
