package org.hickorymoor.standins.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.TaskOutcome;
import org.junit.jupiter.api.Test;

final class RunTest {

  private static final long LONG_MS = 1_000_000_000_000L;

  @Test
  void throttleExtendsRemainingRunTime() {
    Run run = run(1_000, LONG_MS, 100);

    run.throttle(500, 50);

    assertThat(run.endMs()).isEqualTo(1_500);
  }

  @Test
  void runThrottledToZeroNeverFinishes() {
    Run run = run(1_000, LONG_MS, 100);

    run.throttle(500, 0);

    assertThat(run.endMs()).isEqualTo(LONG_MS);
  }

  @Test
  void drainFactorExtendsWholeRunTime() {
    assertThat(run(1_000, LONG_MS, 25).endMs()).isEqualTo(4_000);
  }

  @Test
  void leaseExpiringBeforeFinishLapses() {
    Run run = run(1_000, 999, 100);

    assertThat(run.endMs()).isEqualTo(999);
    assertThat(run.endOutcome()).isEqualTo(TaskOutcome.LAPSED);
  }

  @Property(seed = "21")
  void checkpointAndThrottlingPreserveRemainingWork(
      @ForAll @IntRange(min = 1, max = 1_000_000) int workMs,
      @ForAll @IntRange(min = 0, max = 1_000_000) int atMs,
      @ForAll @IntRange(min = 1, max = 100) int percent) {
    Run run = run(workMs, LONG_MS, 100);
    run.throttle(0, percent);

    long remainingMs = run.checkpoint(Math.min(atMs, run.endMs())).remainingMs();

    double doneMs = Math.min(atMs, run.endMs()) * percent / 100.0;
    assertThat((double) remainingMs).isWithin(1).of(Math.max(0, workMs - doneMs));
  }

  private static Run run(long workMs, long leaseMs, int drainPercent) {
    StartCommand command =
        new StartCommand("job/0/1", Map.of(), Resources.NONE, "", null, leaseMs, 0);
    return new Run(1, command, Payload.read(""), workMs, 0, drainPercent);
  }
}
