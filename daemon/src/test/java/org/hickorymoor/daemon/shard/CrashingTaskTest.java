package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import java.util.Objects;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tasks that crash each worker that starts them, beside tasks that do no harm. */
final class CrashingTaskTest {

  private static final long SEED = 7;
  private static final int WORKERS = 8;

  /** After this many crashed workers a task is not started again. */
  private static final int MAX_CRASHES = 3;

  /** The same if no worker could accept a start before it crashed. */
  private static final int MAX_UNANSWERED_CRASHES = 5;

  private final SimulatedCell cell = new SimulatedCell(SEED, 3, WORKERS);

  // Guards against a task that crashes one worker after another without end.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void taskThatCrashesEachWorkerIsGivenUp(boolean renamed) {
    if (renamed) {
      cell.workers.renameRestarted();
    }
    cell.workers.crashOn(task -> task.equals("bad.0.0.0"));
    cell.awaitCoordinator();
    cell.submit("h1", "bad", step(3, List.of(), false));

    assertThat(cell.awaitState("h2", "bad", WorkloadState.FAILED, 40_000)).isTrue();
    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtMost(MAX_CRASHES);
    cell.time.advance(30_000);
    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtMost(MAX_CRASHES);
    assertThat(cell.workers.violations()).isEmpty();
  }

  // Guards against a task that crashes one worker after another before any can accept its start.
  @Test
  void taskThatCrashesWorkersBeforeTheyAnswerIsGivenUp() {
    cell.workers.renameRestarted();
    cell.workers.crashBeforeAnswer();
    cell.workers.crashOn(task -> task.equals("bad.0.0.0"));
    cell.awaitCoordinator();
    cell.submit("h1", "bad", step(1, List.of(), false));

    assertThat(cell.awaitState("h2", "bad", WorkloadState.FAILED, 40_000)).isTrue();
    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtMost(MAX_UNANSWERED_CRASHES);
  }

  // Guards against a long-running task that crashes one worker after another without end.
  @Test
  void longRunningTaskThatCrashesEachWorkerIsGivenUp() {
    cell.workers.crashOn(task -> task.equals("bad.0.0.0"));
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.submit("h1", "bad", step(2, List.of(), true));

    assertThat(cell.awaitState("h2", "bad", WorkloadState.FAILED, 40_000)).isTrue();
    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtMost(MAX_CRASHES);
    assertThat(cell.time.advanceUntil(10_000, () -> cell.workers.running().isEmpty())).isTrue();
  }

  // Guards against a count of crashes that a new coordinator begins anew.
  @Test
  void crashesCountAcrossTakeovers() {
    cell.workers.renameRestarted();
    cell.workers.crashOn(task -> task.equals("bad.0.0.0"));
    for (int crash = 1; crash <= MAX_CRASHES; crash++) {
      final String coordinator = cell.awaitCoordinator();
      if (crash == 1) {
        cell.submit(coordinator, "bad", step(1, List.of(), false));
      }
      int expected = crash;
      cell.time.advanceUntil(30_000, () -> cell.workers.crashes() >= expected);
      cell.time.advance(100);
      cell.kill(coordinator);
      cell.time.after(2_000, () -> cell.startHost(coordinator));
    }
    cell.awaitCoordinator();
    cell.time.advance(60_000);

    // A takeover during the outage of a worker may leave one crash uncounted.
    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtMost(MAX_CRASHES + 2);
    assertThat(cell.ask("h0", "bad").state()).isEqualTo(WorkloadState.FAILED);
  }

  // Guards against giving up tasks that were only beside one that crashed their worker.
  @Test
  void tasksBesideTheCrashingOneComplete() {
    cell.workers.crashOn(task -> task.matches("bad[0-9]\\.0\\.0\\.0"));
    cell.workers.renameRestarted();
    cell.workers.durations(() -> 800L);
    cell.awaitCoordinator();
    for (int i = 0; i < 5; i++) {
      cell.submit("h1", "bad" + i, step(6, List.of(), false));
      cell.submit("h2", "good" + i, step(6, List.of(), false), step(4, List.of(0), false));
      cell.time.advance(1_000);
    }

    for (int i = 0; i < 5; i++) {
      assertThat(cell.awaitState("h0", "good" + i, WorkloadState.COMPLETED, 60_000)).isTrue();
      assertThat(cell.awaitState("h0", "bad" + i, WorkloadState.FAILED, 60_000)).isTrue();
    }
    assertThat(cell.workers.crashes()).isAtMost(5 * MAX_CRASHES);
    assertThat(cell.workers.violations()).isEmpty();
  }

  // Guards against giving up a task under which one worker has crashed, since the start of another
  // run was on its way to a worker that had crashed before.
  @Test
  void startThatMayNotHaveArrivedDoesNotUseUpTheAllowedCrashes() {
    cell.workers.crashOn(task -> cell.workers.startsOf(task) == 1);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.workers.all().forEach(worker -> worker.delayStartsAndStops(1));
    cell.submit("h1", "job", step(1, List.of(), false));
    cell.time.advance(200);
    for (FakeWorkers.Worker worker : cell.workers.all()) {
      worker.delayStartsAndStops(0);
      worker.crash();
      worker.restart();
    }

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 30_000)).isTrue();
    assertThat(cell.workers.crashes()).isEqualTo(1);
  }

  // Guards against giving up a task because its starts were on their way to workers that had ended.
  @Test
  void startsThatDoNotReachTheirWorkersDoNotFailTheJob() {
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.workers.all().forEach(worker -> worker.delayStartsAndStops(1));
    cell.submit("h1", "job", step(1, List.of(), false));
    for (int i = 0; i < 2 * MAX_CRASHES; i++) {
      cell.time.advance(1_500);
      for (FakeWorkers.Worker worker : cell.workers.all()) {
        worker.crash();
        worker.restart();
      }
    }
    assertThat(cell.workers.startsOf("job.0.0.0")).isEqualTo(0);
    cell.workers.all().forEach(worker -> worker.delayStartsAndStops(0));

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 30_000)).isTrue();
  }

  // Guards against taking starts that were sent to silent workers, and cut off when these came
  // back, for the cause of their silence.
  @Test
  void startsCutOffWhenTheirWorkersComeBackDoNotFailTheJob() {
    cell.workers.cutOffUnanswered();
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.workers.all().forEach(FakeWorkers.Worker::crash);
    cell.submit("h1", "job", step(1, List.of(), false));
    for (int i = 0; i < 2 * MAX_CRASHES; i++) {
      cell.time.advance(300);
      cell.workers.all().forEach(FakeWorkers.Worker::restart);
      cell.time.advance(12);
      cell.workers.all().forEach(FakeWorkers.Worker::crash);
    }
    assertThat(cell.workers.startsOf("job.0.0.0")).isEqualTo(0);
    cell.workers.all().forEach(FakeWorkers.Worker::restart);

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 30_000)).isTrue();
  }

  // Guards against taking starts whose connections a network partition resets for crashes.
  @Test
  void startsCutOffAtOnceByPartitionsDoNotFailTheJob() {
    cell.workers.renameRestarted();
    cell.workers.durations(() -> 2_000L);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.workers.all().forEach(worker -> worker.resetConnections(true));
    cell.submit("h1", "job", step(1, List.of(), false));
    for (int i = 0; i < MAX_CRASHES; i++) {
      cell.time.advance(1_000);
      List<FakeWorkers.Worker> cutOff = cell.workers.all();
      cutOff.forEach(FakeWorkers.Worker::crashAndRestart);
      cell.time.advance(3_290);
      cutOff.forEach(worker -> worker.resetConnections(true));
      cell.time.advance(10);
      cell.workers.all().forEach(worker -> worker.resetConnections(!cutOff.contains(worker)));
    }
    cell.workers.all().forEach(worker -> worker.resetConnections(false));

    assertThat(cell.workers.startsOf("job.0.0.0")).isEqualTo(0);
    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 60_000)).isTrue();
  }

  // Guards against giving up a task whose runs were over when their workers crashed.
  @Test
  void workersThatCrashLongAfterTheStartDoNotFailTheJob() {
    cell.workers.renameRestarted();
    cell.workers.durations(() -> 300L);
    cell.awaitCoordinator();
    cell.submit("h1", "job", step(1, List.of(), false));
    for (int i = 0; i < MAX_CRASHES; i++) {
      FakeWorkers.Worker worker = cell.awaitRun("job.0.0.0");
      cell.time.advance(100);
      worker.setUnhealthy(true);
      cell.time.advance(1_000);
      worker.crashAndRestart();
    }

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 30_000)).isTrue();
  }

  // Guards against giving up a task because the workers that it started on have left as announced.
  @Test
  void workersThatLeaveDoNotFailTheJob() {
    cell.workers.durations(() -> 1_000L);
    cell.awaitCoordinator();
    cell.submit("h1", "job", step(1, List.of(), false));
    for (int i = 0; i < MAX_CRASHES; i++) {
      FakeWorkers.Worker worker = cell.awaitRun("job.0.0.0");
      cell.time.advance(100);
      cell.workers.drain(worker.id());
      worker.crashAndRestart();
    }

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 30_000)).isTrue();
  }

  // Guards against giving up a task that happens to start on workers that crash by themselves.
  @Test
  void workersThatCrashByThemselvesDoNotFailTheJob() {
    cell.workers.renameRestarted();
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.submit("h1", "others", step(60, List.of(), true));
    cell.time.advance(5_000);
    for (int i = 0; i < 2; i++) {
      cell.workerRunning("others.0.0.0").crashAndRestart();
      cell.time.advance(8_000);
    }
    cell.workers.durations(() -> 1_000L);
    cell.submit("h1", "job", step(1, List.of(), false));
    for (int i = 0; i < 2; i++) {
      FakeWorkers.Worker worker = cell.awaitRun("job.0.0.0");
      cell.time.advance(200);
      worker.crashAndRestart();
    }

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 30_000)).isTrue();
  }

  // Guards against further crashes that a task causes because workers crash by themselves too.
  @Test
  void taskThatCrashesEachWorkerAtOnceIsGivenUpAmongWorkersThatCrashByThemselves() {
    cell.workers.renameRestarted();
    cell.workers.crashOn(task -> task.equals("bad.0.0.0"));
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.submit("h1", "others", step(60, List.of(), true));
    cell.time.advance(5_000);
    for (int i = 0; i < 2; i++) {
      cell.workerRunning("others.0.0.0").crashAndRestart();
      cell.time.advance(8_000);
    }
    cell.submit("h1", "bad", step(1, List.of(), false));

    assertThat(cell.awaitState("h2", "bad", WorkloadState.FAILED, 40_000)).isTrue();
    assertThat(cell.workers.startsOf("bad.0.0.0")).isAtMost(MAX_CRASHES);
  }

  // Guards against counting a lost connection as a crash of the worker.
  @Test
  void networkPartitionsDoNotCountAsCrashes() {
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.submit("h1", "job", step(1, List.of(), true));
    for (int i = 0; i < MAX_CRASHES + 1; i++) {
      int starts = i + 1;
      assertThat(cell.time.advanceUntil(20_000, () -> cell.workers.startsOf("job.0.0.0") == starts))
          .isTrue();
      String worker = Objects.requireNonNull(cell.workers.workerOf("job.0.0.0"));
      cell.workers.get(worker).setDisconnected(true);
      cell.time.after(9_000, () -> cell.workers.get(worker).setDisconnected(false));
    }

    assertThat(cell.time.advanceUntil(20_000, () -> !cell.workers.running().isEmpty())).isTrue();
    assertThat(cell.ask("h0", "job").state()).isNotEqualTo(WorkloadState.FAILED);
  }

  // Guards against runs that wait for a lease although their worker is known to have ended.
  @Test
  void runsOnReplacedWorkerStartElsewhereBeforeTheirLeaseEnds() {
    cell.workers.crashOn(task -> task.equals("bad.0.0.0"));
    cell.workers.renameRestarted();
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.submit("h1", "job", step(8, List.of(), true));
    cell.time.advanceUntil(5_000, () -> cell.workers.running().size() == 8);
    cell.submit("h1", "bad", step(1, List.of(), false));
    cell.time.advanceUntil(5_000, () -> cell.workers.crashes() == 1);

    assertThat(cell.time.advanceUntil(4_500, () -> cell.workers.running().size() >= 8)).isTrue();
    assertThat(cell.workers.violations()).isEmpty();
  }

  // Guards against a start on a worker whose capacity shrank after the task was placed.
  @Test
  void shrunkenWorkerStartsNothingThatWasPlacedBefore() {
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    // The placed tasks wait for the store while the list of workers shows the smaller capacity.
    cell.store.serialAppendMs(580);
    cell.submit("h1", "job", step(6, List.of(), true));
    cell.time.advance(50);
    for (int i = 0; i < WORKERS; i++) {
      cell.workers.resize("w" + i, 500);
    }
    cell.time.advance(6_000);

    assertThat(cell.workers.running()).isEmpty();
    for (int i = 0; i < WORKERS; i++) {
      cell.workers.resize("w" + i, 16_000);
    }
    assertThat(cell.time.advanceUntil(20_000, () -> cell.workers.running().size() == 6)).isTrue();
  }
}
