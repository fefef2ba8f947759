package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;

/** Crashes of workers that say nothing about a task, and tasks whose crashes are hard to see. */
final class CrashEvidenceTest {

  private static final long SEED = 7;

  /** A task that crashes its workers is started at most this often. */
  private static final int MAX_STARTS = 5;

  private final SimulatedCell cell = new SimulatedCell(SEED, 3, 8);

  // Guards against giving up a task whose runs were over when their workers, cut off before, ended.
  @Test
  void workersThatAreCutOffAndCrashLaterDoNotFailTheJob() {
    cell.workers.renameRestarted();
    cell.workers.durations(() -> 300L);
    cell.awaitCoordinator();
    cell.submit("h1", "job", step(1, List.of(), false));
    for (int i = 0; i < 3; i++) {
      FakeWorkers.Worker worker = cell.awaitRun("job.0.0.0");
      cell.time.advance(100);
      worker.setRefusing(true);
      cell.time.advance(1_000);
      assertThat(cell.workers.workerOf("job.0.0.0")).isNull();
      worker.crashAndRestart();
    }

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 30_000)).isTrue();
  }

  // Guards against giving up a task because its starts were on connections that a crash cut off.
  @Test
  void startsThatAreCutOffOnTheirWayDoNotFailTheJob() {
    AtomicInteger crashes = new AtomicInteger();
    cell.workers.crashBeforeStartOf(task -> crashes.incrementAndGet() <= 3);
    cell.awaitCoordinator();
    cell.submit("h1", "job", step(1, List.of(), false));

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 40_000)).isTrue();
    assertThat(cell.workers.startsOf("job.0.0.0")).isEqualTo(1);
  }

  // Guards against giving up a task whose run has succeeded on a worker that restarted before it.
  @Test
  void runThatEndsOnWorkerRestartedWhileIdleIsNotBlamedForTheRestart() {
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.submit("h1", "job", step(1, List.of(), false));
    FakeWorkers.Worker crashed = cell.awaitRun("job.0.0.0");
    final String crashedId = Objects.requireNonNull(cell.workers.workerOf("job.0.0.0"));
    cell.time.advance(50);
    crashed.crashAndRestart();
    cell.workers.durations(() -> 50L);
    for (FakeWorkers.Worker worker : cell.workers.all()) {
      if (worker != crashed) {
        worker.crash();
        worker.restart();
      }
    }
    cell.time.advance(3_400);
    cell.workers.list(crashedId, false);

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 30_000)).isTrue();
  }

  // Guards against a suspected task that waits for as long as short tasks start on each worker.
  @Test
  void suspectedTaskStartsAlthoughOtherTasksStartOnEachWorkerAllTheTime() {
    cell.workers.crashOn(
        task -> task.equals("suspect.0.0.0") && cell.workers.startsOf("suspect.0.0.0") == 1);
    cell.workers.durations(() -> 600L);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.submit("h1", "suspect", step(1, List.of(), true));
    cell.awaitRun("suspect.0.0.0");
    final String crashed = Objects.requireNonNull(cell.workers.workerOf("suspect.0.0.0"));
    cell.time.advance(1_000);
    for (int i = 0; i < 100; i++) {
      if (i == 12) {
        cell.workers.list(crashed, false);
      }
      cell.submit("h1", "other" + i, onEachWorker());
      cell.time.advance(200);
    }

    assertThat(cell.workers.crashes()).isEqualTo(1);
    assertThat(cell.workers.startsOf("suspect.0.0.0")).isAtLeast(2);
  }

  private static StepSpec onEachWorker() {
    return new StepSpec(
        7, 1_000, 500, 0, 100, List.of(), false, false, false, null, null, 1, false, false, "", 0,
        false, 0);
  }

  // Guards against blaming a run that a new coordinator has adopted as if it had just started.
  @Test
  void adoptedRunIsNotBlamedAsIfItHadJustStarted() {
    cell.workers.renameRestarted();
    cell.workers.durations(() -> 10_000L);
    final String coordinator = cell.awaitCoordinator();
    cell.submit(coordinator, "job", step(1, List.of(), false));
    final FakeWorkers.Worker worker = cell.awaitRun("job.0.0.0");
    cell.time.advance(2_000);
    cell.kill(coordinator);
    cell.time.advanceUntil(20_000, () -> cell.coordinator() != null);
    cell.time.advance(50);
    assertThat(cell.workers.workerOf("job.0.0.0")).isNotNull();
    worker.crashAndRestart();
    FakeWorkers.Worker next = cell.awaitRun("job.0.0.0");
    cell.time.advance(50);
    next.crashAndRestart();

    String asked = Objects.requireNonNull(cell.coordinator());
    assertThat(cell.awaitState(asked, "job", WorkloadState.COMPLETED, 40_000)).isTrue();
  }

  // Guards against a task without a limit whose workers hang at its start and then crash.
  @Test
  void taskWhoseWorkersHangBeforeTheyCrashIsGivenUp() {
    cell.workers.renameRestarted();
    cell.workers.crashOn(task -> task.equals("bad.0.0.0"));
    cell.workers.hangBeforeCrash(400);
    cell.awaitCoordinator();
    cell.submit("h1", "bad", step(1, List.of(), false));
    cell.time.advance(80_000);

    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtLeast(2);
    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtMost(MAX_STARTS);
  }

  // Guards against a task without a limit whose workers come back only after their leases.
  @Test
  void taskWhoseWorkersStayAwayForLongIsGivenUp() {
    cell.workers.renameRestarted();
    cell.workers.crashOn(task -> task.equals("bad.0.0.0"));
    cell.workers.restartDelay(12_000);
    cell.awaitCoordinator();
    cell.submit("h1", "bad", step(1, List.of(), false));
    cell.time.advance(80_000);

    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtLeast(2);
    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtMost(MAX_STARTS);
  }
}
