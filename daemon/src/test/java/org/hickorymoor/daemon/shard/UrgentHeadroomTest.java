package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load pattern: 6 workers of 16 cores and 64,000 MB, each with a run that doesn't end soon, and a
 * task that leaves less than the headroom for urgent tasks on each of them.
 */
final class UrgentHeadroomTest {

  private static final int WORKERS = 6;
  private static final long RUN_MS = 600_000;

  /** A task that has capacity may not wait longer. */
  private static final long START_MS = 3_000;

  private final SimulatedCell cell = new SimulatedCell(13, 1, WORKERS);

  @BeforeEach
  void awaitCoordinator() {
    cell.workers.durations(() -> RUN_MS);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
  }

  private static StepSpec step(int count, int cpuMillis, boolean gang, boolean lasting) {
    return new StepSpec(
        count, cpuMillis, 500, 0, 500, List.of(), false, gang, false, null, null, 1, false, lasting,
        "", 0, false, 0);
  }

  private void submit(String job, int priority, StepSpec step) {
    QueuePolicy policy = new QueuePolicy("q" + priority, "pool", priority, 3, 1.5, 600, null);
    // Virtual time starts at this Unix time.
    long acceptedAtMs = 1_700_000_000_000L + cell.time.nowMs();
    WorkloadSpec spec = new WorkloadSpec("p", List.of(step), 0, 0, 0);
    var unused = cell.shard("h0").submit(new Submission(job, acceptedAtMs, policy, spec), 2_800);
  }

  private void occupyEachWorker(int cpuMillis, boolean lasting) {
    submit("first", 1, step(WORKERS, cpuMillis, false, lasting));
    String last = "first.0.0." + (WORKERS - 1);
    assertThat(cell.awaitRun(last).isUp()).isTrue();
  }

  private boolean startsInTime(String task) {
    return cell.time.advanceUntil(START_MS, () -> cell.workers.workerOf(task) != null);
  }

  // Guards against a task that never starts since the headroom can't be left beside lasting runs.
  @ParameterizedTest
  @CsvSource({
    "6500, 9000, 1, true", // the sizes of review/13
    "6500, 9500, 3, true",
    "6500, 9000, 1, false",
    "12000, 4000, 2, true",
    "12000, 3500, 1, false",
    "400, 15200, 1, false",
    "15100, 900, 1, true",
    "15100, 500, 5, false"
  })
  void taskStartsBesideLastingRuns(int runCpuMillis, int cpuMillis, int priority, boolean lasting) {
    occupyEachWorker(runCpuMillis, true);
    submit("second", priority, step(1, cpuMillis, false, lasting));

    assertThat(startsInTime("second.0.0.0")).isTrue();
  }

  // Guards against a task that waits beside runs that do end, while most of the service is free or
  // although the task lasts.
  @ParameterizedTest
  @CsvSource({
    "6500, 9000, 1, true",
    "6500, 9000, 1, false",
    "6500, 9400, 3, false",
    "12000, 4000, 1, true",
    "15100, 900, 2, true"
  })
  void taskStartsBesideRunsThatEnd(int runCpuMillis, int cpuMillis, int priority, boolean lasting) {
    occupyEachWorker(runCpuMillis, false);
    submit("second", priority, step(1, cpuMillis, false, lasting));

    assertThat(startsInTime("second.0.0.0")).isTrue();
  }

  // Guards against a gang of which one member finds no worker that leaves the headroom.
  @Test
  void gangStartsInTheHeadroom() {
    occupyEachWorker(6_500, true);
    submit("second", 1, step(WORKERS, 9_200, true, false));

    assertThat(startsInTime("second.0.0." + (WORKERS - 1))).isTrue();
  }

  // Guards against all tasks of a step but the first being held back.
  @Test
  void allTasksOfStepStartInTheHeadroom() {
    occupyEachWorker(6_500, true);
    submit("second", 1, step(WORKERS, 9_000, false, true));

    for (int i = 0; i < WORKERS; i++) {
      assertThat(startsInTime("second.0.0." + i)).isTrue();
    }
  }

  // The headroom must still be there for urgent tasks of a service that is in use.
  @Test
  void busyServiceKeepsTheHeadroomForUrgentTasks() {
    occupyEachWorker(12_000, false);
    submit("second", 1, step(WORKERS, 3_500, false, false));
    cell.time.advance(4 * START_MS);
    assertThat(cell.workers.workerOf("second.0.0.0")).isNull();

    submit("urgent", 0, step(WORKERS, 4_000, false, false));
    assertThat(startsInTime("urgent.0.0.0")).isTrue();
  }

  // A worker that leaves the headroom goes first, however full it is.
  @Test
  void taskPrefersWorkerThatLeavesTheHeadroom() {
    submit("first", 1, step(WORKERS - 1, 6_500, false, true));
    assertThat(cell.awaitRun("first.0.0.0").isUp()).isTrue();
    submit("second", 1, step(1, 9_000, false, true));

    assertThat(startsInTime("second.0.0.0")).isTrue();
    String worker = cell.workers.workerOf("second.0.0.0");
    for (int i = 0; i < WORKERS - 1; i++) {
      assertThat(cell.workers.workerOf("first.0.0." + i)).isNotEqualTo(worker);
    }
  }
}
