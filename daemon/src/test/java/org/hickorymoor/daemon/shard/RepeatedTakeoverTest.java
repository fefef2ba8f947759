package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import java.util.Objects;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Workers go or are cut off while one coordinator after the other ends. */
final class RepeatedTakeoverTest {

  private static final int HOSTS = 5;
  private static final int WORKERS = 6;
  private static final int TASKS = 40;

  /** Time between the ends of two coordinators; shorter than the coordinator's lease. */
  private static final long TERM_MS = 4_400;

  /** How long a task that lasts may be without a run: its workers' lease and the time to notice. */
  private static final long MAX_IDLE_MS = 9_000;

  private static final long RESTART_MS = 500;

  /** Longer than the election of another host. */
  private static final long SLOW_RESTART_MS = 1_800;

  /** Runs another number of seeds: {@code -Dshard.seeds=N}. */
  private static final int SEEDS = Integer.getInteger("shard.seeds", 60);

  /** Runs a single seed: {@code -Dshard.seed=N}. */
  private static final Long SINGLE_SEED = Long.getLong("shard.seed");

  private SimulatedCell cell = new SimulatedCell(3, HOSTS, WORKERS);

  @BeforeEach
  void startEndlessTasks() {
    startEndlessTasks(cell);
    // Leases of the coordinator that the cell began with must not be what is waited for.
    cell.time.advance(15_000);
  }

  private static void startEndlessTasks(SimulatedCell cell) {
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.submit("h0", "job", step(TASKS, List.of(), true));
    cell.time.advanceUntil(5_000, () -> allTasksRun(cell));
  }

  private static boolean allTasksRun(SimulatedCell cell) {
    return cell.workers.running().size() == TASKS;
  }

  private String workerWithRuns() {
    return Objects.requireNonNull(cell.workers.workerOf("job.0.0.0"));
  }

  private void remove(String worker) {
    cell.workers.get(worker).leave();
    cell.time.after(3 * FakeWorkers.HEARTBEAT_MS, () -> cell.workers.list(worker, false));
  }

  /** Kills the coordinator; its host starts again soon. */
  private void killCoordinator() {
    String coordinator = cell.coordinator();
    if (coordinator != null) {
      cell.kill(coordinator);
      cell.time.after(RESTART_MS, () -> cell.startHost(coordinator));
    }
  }

  private void killCoordinatorsFor(long durationMs) {
    for (long atMs = 0; atMs < durationMs; atMs += TERM_MS) {
      cell.time.after(atMs, this::killCoordinator);
    }
  }

  // Guards against tasks that wait for the lease of a worker anew under each coordinator.
  @Test
  void tasksOfWorkerThatHasGoneRunElsewhereInTimeThoughCoordinatorsKeepEnding() {
    remove(workerWithRuns());
    cell.time.advance(2_000);
    killCoordinatorsFor(30_000);

    assertThat(cell.time.advanceUntil(MAX_IDLE_MS - 2_000, () -> allTasksRun(cell))).isTrue();
    assertThat(cell.workers.violations()).isEmpty();
  }

  // Guards against tasks that wait for a lease which a coordinator that has ended can't renew.
  @Test
  void tasksOfWorkerThatGoesWithItsCoordinatorRunElsewhereInTime() {
    remove(workerWithRuns());
    killCoordinator();

    assertThat(cell.time.advanceUntil(MAX_IDLE_MS, () -> allTasksRun(cell))).isTrue();
    assertThat(cell.workers.violations()).isEmpty();
  }

  // Guards against the same if another host takes over before that of the coordinator is back.
  @Test
  void tasksOfWorkerThatGoesWithItsCoordinatorRunElsewhereInTimeUnderAnotherHost() {
    String coordinator = cell.awaitCoordinator();
    remove(workerWithRuns());
    cell.kill(coordinator);
    cell.time.after(SLOW_RESTART_MS, () -> cell.startHost(coordinator));

    assertThat(cell.time.advanceUntil(MAX_IDLE_MS, () -> allTasksRun(cell))).isTrue();
    assertThat(cell.workers.violations()).isEmpty();
  }

  // Guards against starts one after the other: how long the lost runs had been running is unknown
  // to the successor, which must not suspect each of them of the crash of their worker.
  @Test
  void tasksOfWorkerThatGoesWithItsCoordinatorStartTogether() {
    remove(workerWithRuns());
    killCoordinator();
    cell.time.advanceUntil(20_000, () -> cell.workers.startsOf("job.0.0.0") == 2);

    assertThat(cell.time.advanceUntil(1_000, () -> allTasksRun(cell))).isTrue();
  }

  // Guards against second runs: a former coordinator may still renew leases of a worker that its
  // successors don't reach.
  @Test
  void tasksOfWorkerThatFormerCoordinatorStillReachesRunElsewhereOnlyAfterItsLease() {
    String former = cell.awaitCoordinator();
    String worker = workerWithRuns();
    cell.hostNames().stream()
        .filter(host -> !host.equals(former))
        .forEach(host -> cell.workers.get(worker).block(host));
    cell.store.refuseHost(former, true);
    cell.time.advanceUntil(
        5_000, () -> cell.coordinator() != null && !former.equals(cell.coordinator()));
    cell.time.advance(500);
    cell.kill(Objects.requireNonNull(successorOf(former)));
    cell.time.advance(20_000);

    assertThat(cell.workers.violations()).isEmpty();
    assertThat(allTasksRun(cell)).isTrue();
  }

  private String successorOf(String former) {
    return cell.hostNames().stream()
        .filter(host -> !host.equals(former) && cell.shard(host).isReadyCoordinator())
        .findFirst()
        .orElseThrow();
  }

  // Guards against a stored bound that outlives the silence of its worker.
  @Test
  void tasksOfWorkerThatAnsweredAgainBeforeTheTakeoverRunElsewhereOnlyAfterTheirNewLease() {
    FakeWorkers.Worker worker = cell.workers.get(workerWithRuns());
    worker.setDisconnected(true);
    cell.time.advance(3_000);
    worker.setDisconnected(false);
    cell.time.advance(5_000);
    worker.setDisconnected(true);
    killCoordinator();
    cell.time.advance(20_000);

    assertThat(cell.workers.violations()).isEmpty();
    assertThat(allTasksRun(cell)).isTrue();
  }

  static List<Long> seeds() {
    return SINGLE_SEED != null
        ? List.of(SINGLE_SEED)
        : new Random(43).longs(SEEDS, 1, 1_000_000).boxed().toList();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhileCoordinatorsEndInSeries(long seed) {
    Random random = new Random(seed);
    cell = new SimulatedCell(seed, HOSTS, WORKERS);
    startEndlessTasks(cell);
    long endMs = cell.time.nowMs() + 60_000;
    while (cell.time.nowMs() < endMs) {
      cell.time.advance(300 + random.nextInt(2_500));
      endTerm(random);
      disturbWorker(random);
    }
    cell.time.advance(30_000);

    assertWithMessage("seed %s", seed).that(cell.workers.violations()).isEmpty();
    assertWithMessage("seed %s", seed).that(cell.workers.running()).hasSize(TASKS);
  }

  private void endTerm(Random random) {
    String coordinator = cell.coordinator();
    if (coordinator == null) {
      return;
    }
    long forMs = 500 + random.nextInt(9_000);
    switch (random.nextInt(6)) {
      case 0, 1 -> {
        cell.kill(coordinator);
        cell.time.after(forMs / 4, () -> cell.startHost(coordinator));
      }
      case 2 -> cell.freeze(coordinator, forMs);
      case 3 -> cell.suspend(coordinator, forMs);
      case 4 -> {
        cell.store.refuseHost(coordinator, true);
        cell.time.after(forMs, () -> cell.store.refuseHost(coordinator, false));
      }
      default -> {
        // This time it goes on.
      }
    }
  }

  private void disturbWorker(Random random) {
    FakeWorkers.Worker worker = cell.workers.get("w" + random.nextInt(WORKERS));
    long forMs = 300 + random.nextInt(9_000);
    switch (random.nextInt(6)) {
      case 0 -> {
        worker.setDisconnected(true);
        cell.time.after(forMs, () -> worker.setDisconnected(false));
      }
      case 1 -> {
        worker.setRefusing(true);
        cell.time.after(forMs, () -> worker.setRefusing(false));
      }
      case 2 -> {
        String host = "h" + random.nextInt(HOSTS);
        worker.block(host);
        cell.time.after(forMs, () -> worker.unblock(host));
      }
      case 3 -> {
        if (worker.isUp()) {
          worker.crash();
          cell.time.after(forMs, worker::restart);
        }
      }
      case 4 -> {
        cell.workers.list(worker.id(), false);
        cell.time.after(forMs, () -> cell.workers.list(worker.id(), true));
      }
      default -> {
        cell.store.setUnresponsive(true);
        cell.time.after(forMs / 3, () -> cell.store.setUnresponsive(false));
      }
    }
  }
}
