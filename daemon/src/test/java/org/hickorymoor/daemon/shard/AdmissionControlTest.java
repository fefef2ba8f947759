package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hickorymoor.daemon.peer.PeerRequest.AdmitSubmission;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.junit.jupiter.api.Test;

final class AdmissionControlTest {

  private final SimulatedPool pool = new SimulatedPool();

  /** Adds more jobs than the pool can run in the time within which they are useful. */
  private void overload() {
    for (int i = 0; i < 300; i++) {
      pool.add(job("job" + i));
    }
    pool.time.advance(100);
  }

  private Submission job(String id) {
    return SimulatedPool.job(
        "customer", id, pool.loop.nowMs(), SimulatedCell.step(4, List.of(), false));
  }

  private boolean admits(String jobId) {
    return pool.control
        .decide(
            new AdmitSubmission(jobId, "customer", "queue", "pool", 0, 2_000, 500, 4_050, 1_000))
        .admitted();
  }

  // Guards against refusals by a coordinator that doesn't know all open jobs and workers yet.
  @Test
  void nothingIsRefusedEarlyInTermOrWhileReadingIsBehind() {
    overload();
    assertThat(admits("new")).isTrue();
    assertThat(pool.control.isUnderPressure("job0")).isFalse();

    pool.time.advance(AdmissionControl.GRACE_MS - 100);
    overload();
    assertThat(admits("new")).isFalse();
    assertThat(pool.control.isUnderPressure("job299")).isTrue();

    pool.fresh = false;
    assertThat(admits("new")).isTrue();
  }

  // Guards against refusing the retry of a job that is stored, or may be by a late append.
  @Test
  void retriesOfKnownJobsAreNeverRefused() {
    pool.time.advance(AdmissionControl.GRACE_MS);
    pool.add(job("ended"));
    pool.time.advance(1_000);
    overload();
    pool.control.onAnnounced("announced");

    assertThat(admits("job299")).isTrue();
    assertThat(admits("ended")).isTrue();
    assertThat(admits("announced")).isTrue();
    assertThat(admits("new")).isFalse();
    pool.time.advance(1_000);
    assertThat(admits("announced")).isTrue();
  }

  // Guards against a backlog that grows with the repeats of one job.
  @Test
  void retriesOfJobCountOnce() {
    pool.limits.put("customer", 0);
    pool.add(job("job"));
    pool.add(job("job"));

    assertThat(pool.backlog.queuedJobs("customer")).isEqualTo(1);
    assertThat(pool.backlog.submissionBytes("customer")).isEqualTo(1_000);
    assertThat(pool.backlog.customerCoreMs("pool", "customer", Long.MAX_VALUE)).isEqualTo(2_000);
    pool.backlog.remove("job");
    pool.backlog.remove("job");
    assertThat(pool.backlog.queuedJobs("customer")).isEqualTo(0);
    assertThat(pool.backlog.totalCoreMs("pool", Long.MAX_VALUE)).isEqualTo(0);
  }

  // Guards against estimates of callers that overflow the sums or fail the coordinator.
  @Test
  void oddEstimatesDoNotOverflow() {
    pool.limits.put("customer", 0);
    var step = SimulatedCell.step(4_000, List.of(), false);
    var odd =
        new StepSpec(
            4_000,
            Integer.MAX_VALUE,
            1,
            0,
            Long.MAX_VALUE,
            step.dependencies(),
            false,
            false,
            false,
            null,
            null,
            0,
            false,
            false,
            "",
            0,
            false,
            0);
    for (int i = 0; i < 10; i++) {
      pool.add(SimulatedPool.job("customer", "odd" + i, pool.loop.nowMs(), odd));
    }
    pool.time.advance(AdmissionControl.GRACE_MS);

    assertThat(pool.backlog.totalCoreMs("pool", Long.MAX_VALUE)).isGreaterThan(0L);
    assertThat(pool.control.isUnderPressure("odd0")).isFalse();
    assertThat(admits("new")).isTrue();
  }

  // Guards against memory for jobs that ended long before their deadlines.
  @Test
  void endedJobsLeaveNoExpiries() {
    for (int i = 0; i < 10 * AdmissionBacklog.CLEANUP_SIZE; i++) {
      JobProgress progress = new JobProgress(job("job" + i));
      progress.startDueOccurrences(pool.loop.nowMs());
      pool.backlog.add(progress, 1_000);
      if (i > 0) {
        pool.backlog.remove("job" + i);
      }
    }
    assertThat(pool.backlog.expiryCount()).isAtMost(AdmissionBacklog.CLEANUP_SIZE);

    pool.time.advance(10_000);
    assertThat(pool.backlog.customerCoreMs("pool", "customer", Long.MAX_VALUE)).isEqualTo(2_000);
    pool.time.advance(30_000);
    assertThat(pool.backlog.customerCoreMs("pool", "customer", Long.MAX_VALUE)).isEqualTo(0);
  }
}
