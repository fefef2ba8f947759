package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.domain.workload.StepSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: on one worker a best-effort run beside a service, whose response time rises to
 * twice its target of 100 ms and falls again.
 */
final class ThrottlingTest {

  private static final String SERVICE = "service.0.0.0";
  private static final String FILLER = "filler.0.0.0";
  private static final long SLOW_MS = 200;
  private static final long FAST_MS = 10;

  private final SimulatedCell cell = new SimulatedCell(7, 3, 1);
  private FakeWorkers.Worker worker;
  private long responseTimeMs = FAST_MS;

  @BeforeEach
  void startRuns() {
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.workers.loads(task -> task.startsWith("service") ? responseTimeMs : -1);
    cell.awaitCoordinator();
    cell.submit("h0", "service", step(100, false));
    cell.submit("h0", "filler", step(0, true));
    worker = cell.awaitRun(FILLER);
    assertThat(cell.awaitRun(SERVICE)).isEqualTo(worker);
    cell.time.advance(2_000);
  }

  private static StepSpec step(long responseTimeTargetMs, boolean bestEffort) {
    return new StepSpec(
        1,
        1_000,
        500,
        0,
        500,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        0,
        false,
        true,
        "",
        responseTimeTargetMs,
        bestEffort,
        0);
  }

  private boolean awaitSpeed(int percent) {
    return cell.time.advanceUntil(20_000, () -> worker.speedPercent(FILLER) == percent);
  }

  /** Guards against a run that stays throttled, as its successor took it for unthrottled. */
  @Test
  void throttledRunIsSpedUpByTheSuccessor() {
    responseTimeMs = SLOW_MS;
    assertThat(awaitSpeed(0)).isTrue();
    cell.kill(cell.awaitCoordinator());
    responseTimeMs = FAST_MS;
    cell.awaitCoordinator();

    assertThat(awaitSpeed(100)).isTrue();
  }

  /** Guards against a successor that speeds a run up though the service is still slow. */
  @Test
  void throttledRunStaysThrottledWhileTheServiceIsSlow() {
    responseTimeMs = SLOW_MS;
    assertThat(awaitSpeed(0)).isTrue();
    cell.kill(cell.awaitCoordinator());
    cell.awaitCoordinator();

    assertThat(cell.time.advanceUntil(5_000, () -> worker.speedPercent(FILLER) != 0)).isFalse();
  }

  /** Guards against a refused request that counts as carried out. */
  @Test
  void refusedRequestIsRetried() {
    cell.workers.throttleOutcome(Outcome.UNAVAILABLE);
    responseTimeMs = SLOW_MS;
    cell.time.advanceUntil(5_000, () -> cell.workers.throttleRequests() > 0);
    cell.time.advance(500);
    cell.workers.throttleOutcome(Outcome.ACCEPTED);

    assertThat(awaitSpeed(0)).isTrue();
  }

  /** Guards against a late request that takes effect after the one that replaced it. */
  @Test
  void speedIsRestoredAfterLateExecution() {
    worker.delayStartsAndStops(1);
    responseTimeMs = SLOW_MS;
    cell.time.advanceUntil(5_000, () -> cell.workers.throttleRequests() > 0);
    cell.time.advance(200);
    worker.delayStartsAndStops(0);
    responseTimeMs = FAST_MS;
    assertThat(awaitSpeed(0)).isTrue();

    assertThat(awaitSpeed(100)).isTrue();
  }

  /** Guards against best-effort runs that stay throttled when no service is left beside them. */
  @Test
  void runIsSpedUpOnceTheServiceHasEnded() {
    responseTimeMs = SLOW_MS;
    assertThat(awaitSpeed(0)).isTrue();
    cell.shard("h0").cancel("service", 2_800);

    assertThat(awaitSpeed(100)).isTrue();
  }
}
