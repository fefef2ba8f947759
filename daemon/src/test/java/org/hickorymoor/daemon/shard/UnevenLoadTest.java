package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: 4 workers of 16 cores are offered 1.5 times as many tasks of 2 cores and 250 to 750
 * ms as they can run, without a pause, and one task that needs most of a worker.
 */
final class UnevenLoadTest {

  private static final long OFFER_INTERVAL_MS = 200;
  private static final int TASKS_PER_OFFER = 19;

  /** Wait before a reservation, its length, and one attempt more. */
  private static final long WIDE_START_MS = 2 * (2_000 + 5_000);

  private final SimulatedCell cell = new SimulatedCell(7, 3, 4);
  private int offers;

  @BeforeEach
  void awaitCoordinator() {
    // Runs that end together would free a whole worker.
    cell.workers.durations(() -> 250L + cell.time.random().nextInt(500));
    cell.awaitCoordinator();
    cell.time.advance(2_000);
  }

  private void submit(String job, int priority, int count, int cpuMillis) {
    QueuePolicy policy = new QueuePolicy("q" + priority, "pool", priority, 3, 1.5, 600, null);
    StepSpec step =
        new StepSpec(
            count, cpuMillis, 500, 0, 500, List.of(), false, false, false, null, null, 0, false,
            false, "", 0, false, 0);
    // Virtual time starts at this Unix time.
    long acceptedAtMs = 1_700_000_000_000L + cell.time.nowMs();
    var unused =
        cell.shard("h0")
            .submit(
                new Submission(
                    job, acceptedAtMs, policy, new WorkloadSpec("p", List.of(step), 0, 0, 0)),
                2_800);
  }

  /** Offers small tasks until a task runs; returns whether it did in time. */
  private boolean offerUntilRunning(String task, int priority, long withinMs) {
    long endMs = cell.time.nowMs() + withinMs;
    while (cell.workers.workerOf(task) == null && cell.time.nowMs() < endMs) {
      submit("small" + offers++, priority, TASKS_PER_OFFER, 2_000);
      cell.time.advanceUntil(OFFER_INTERVAL_MS, () -> cell.workers.workerOf(task) != null);
    }
    return cell.workers.workerOf(task) != null;
  }

  /** Guards against wide tasks that wait as long as smaller ones take the room that comes free. */
  @Test
  void wideTaskStartsAmongSmallOnes() {
    offerUntilRunning("none", 1, 2_000);
    submit("wide", 1, 1, 14_000);

    assertThat(offerUntilRunning("wide.0.0.0", 1, WIDE_START_MS)).isTrue();
  }

  /** Guards against reservations that hold back steps of a higher priority. */
  @Test
  void wideTaskDoesNotHoldBackHigherPriorities() {
    offerUntilRunning("none", 0, 2_000);
    submit("wide", 1, 1, 14_000);
    int startsBefore = cell.workers.starts();
    final long beganMs = cell.time.nowMs();
    offerUntilRunning("none", 0, 10_000);
    double startsPerSecond =
        (cell.workers.starts() - startsBefore) * 1_000.0 / (cell.time.nowMs() - beganMs);

    // 32 tasks of 2 cores at a time, each for 500 ms and up to 100 ms for its end and next start.
    assertThat(startsPerSecond).isAtLeast(32 / 0.6);
  }

  /** Guards against a task of nearly a whole worker in a lower queue that is never placed. */
  @Test
  void taskOfNearlyWholeWorkerInLowerQueueStarts() {
    submit("whole", 3, 1, 15_900);

    assertThat(cell.awaitRun("whole.0.0.0").isUp()).isTrue();
  }
}
