package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;

final class OddJobTest {

  private static final long WITHIN_MS = 2_800;
  private static final long TIMEOUT_MS = 20_000;

  private static StepSpec step(int amount, long timeMs) {
    return new StepSpec(
        1, amount, amount, amount, timeMs, List.of(), false, false, false, null, null, amount,
        false, false, "", timeMs, false, amount);
  }

  private static List<Submission> oddJobs() {
    List<Submission> jobs = new ArrayList<>();
    List<Long> timesMs = List.of(0L, -1L, Long.MIN_VALUE, Long.MAX_VALUE, Long.MAX_VALUE / 2);
    for (long timeMs : timesMs) {
      for (int amount : new int[] {0, 1, Integer.MAX_VALUE}) {
        StepSpec step = step(amount, timeMs);
        for (int repetitions : new int[] {0, 3, Integer.MAX_VALUE}) {
          jobs.add(
              new Submission(
                  "odd" + jobs.size(),
                  timeMs,
                  new QueuePolicy("odd", "pool", 2, 3, 1e308, timeMs, null),
                  new WorkloadSpec("p", List.of(step, step), repetitions, timeMs, timeMs)));
        }
      }
    }
    return jobs;
  }

  // Guards against a job of extreme numbers that keeps other jobs from running.
  @Test
  void jobsOfExtremeNumbersDelayNoOtherJob() {
    SimulatedCell cell = new SimulatedCell(7, 2, 3);
    assertThat(cell.time.advanceUntil(TIMEOUT_MS, () -> cell.coordinator() != null)).isTrue();
    for (Submission odd : oddJobs()) {
      var unused = cell.shard("h0").submit(odd, WITHIN_MS);
    }
    cell.time.advance(2_000);
    for (Submission odd : oddJobs()) {
      assertWithMessage(odd.jobId()).that(cell.ask("h0", odd.jobId()).state()).isNotNull();
    }

    cell.submit("h1", "usual", SimulatedCell.step(2, List.of(), false));

    assertThat(cell.awaitState("h1", "usual", WorkloadState.COMPLETED, TIMEOUT_MS)).isTrue();
    assertWithMessage("violations").that(cell.workers.violations()).isEmpty();
  }
}
