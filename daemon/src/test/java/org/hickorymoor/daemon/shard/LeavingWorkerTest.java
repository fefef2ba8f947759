package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import java.util.Objects;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A worker drains, and leaves or is cut off. */
final class LeavingWorkerTest {

  private static final int TASKS = 8;
  private static final long LEASE_MS = 6_000;
  private static final long SHORT_NOTICE_MS = 1_800;
  private static final long ENTRY_TTL_MS = 3 * FakeWorkers.HEARTBEAT_MS;

  private final SimulatedCell cell = new SimulatedCell(9, 3, 4);
  private String worker = "";

  @BeforeEach
  void startEndlessTasks() {
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.submit("h0", "job", step(TASKS, List.of(), true));
    cell.time.advanceUntil(5_000, this::allTasksRun);
    worker = Objects.requireNonNull(cell.workers.workerOf("job.0.0.0"));
  }

  private boolean allTasksRun() {
    return cell.workers.running().size() == TASKS;
  }

  // Guards against a second run of a task whose draining worker is cut off and runs on.
  @Test
  void runsOfDrainingWorkerThatIsCutOffStartElsewhereOnlyAfterTheirLease() {
    cell.workers.drain(worker);
    cell.time.advance(300);
    cell.workers.get(worker).setRefusing(true);
    cell.time.advance(ENTRY_TTL_MS - 300);
    cell.workers.list(worker, false);

    cell.time.advance(2 * LEASE_MS);

    assertThat(cell.workers.violations()).isEmpty();
    assertThat(cell.workers.starts()).isGreaterThan(TASKS);
    assertThat(allTasksRun()).isTrue();
  }

  // Guards against tasks that wait for a lease though their worker has said that it leaves.
  @Test
  void runsOfWorkerThatLeavesAfterLongDrainStartElsewhereAtOnce() {
    for (int i = 0; i < 6; i++) {
      cell.workers.drain(worker);
      cell.time.advance(FakeWorkers.HEARTBEAT_MS);
    }
    cell.workers.get(worker).leave();
    cell.workers.list(worker, false);

    assertThat(cell.time.advanceUntil(1_500, this::allTasksRun)).isTrue();
    assertThat(cell.workers.violations()).isEmpty();
  }

  // Guards against tasks that wait for the lease of a worker that was taken away at short notice.
  @Test
  void runsOfWorkerThatIsTakenAwayAtShortNoticeStartElsewhereBeforeItIsGone() {
    cell.workers.drain(worker, SHORT_NOTICE_MS);
    cell.time.advance(SHORT_NOTICE_MS);
    cell.workers.get(worker).leaveSilently();

    assertThat(allTasksRun()).isTrue();
    assertThat(cell.workers.violations()).isEmpty();
  }

  @Test
  void runsThatEndBeforeTheirWorkerIsTakenAwayAreNotStopped() {
    cell.workers.durations(() -> 400L);
    cell.submit("h1", "short", step(TASKS, List.of(), false));
    cell.time.advanceUntil(1_000, () -> cell.workers.running().contains("short.0.0.0"));
    cell.workers.drain(
        Objects.requireNonNull(cell.workers.workerOf("short.0.0.0")), SHORT_NOTICE_MS);
    cell.awaitState("h1", "short", WorkloadState.COMPLETED, 5_000);

    assertThat(cell.workers.startsOf("short.0.0.0")).isEqualTo(1);
  }

  // Guards against runs that are left on a worker as their callers estimate too little.
  @Test
  void runsThatAreKnownToOutlastTheNoticeAreStoppedAtOnce() {
    cell.workers.durations(() -> 4_000L);
    cell.submit("h1", "earlier", step(30, List.of(), false));
    cell.awaitState("h1", "earlier", WorkloadState.COMPLETED, 30_000);
    cell.submit("h1", "next", step(TASKS, List.of(), false));
    cell.time.advanceUntil(1_000, () -> cell.workers.running().contains("next.0.0.0"));

    cell.workers.drain(
        Objects.requireNonNull(cell.workers.workerOf("next.0.0.0")), SHORT_NOTICE_MS);
    cell.time.advance(SHORT_NOTICE_MS - 1_100);

    assertThat(cell.workers.startsOf("next.0.0.0")).isEqualTo(2);
  }
}
