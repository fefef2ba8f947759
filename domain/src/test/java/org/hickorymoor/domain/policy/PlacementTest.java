package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hickorymoor.domain.job.JobSpec;
import org.junit.jupiter.api.Test;

final class PlacementTest {

  private static final PolicySettings PACKING = PolicySettings.DEFAULT.withWeights(0, 1, 0);
  private static final PolicySettings WAITING = PolicySettings.DEFAULT.withWeights(1, 0, 0);
  private static final double SLOW_RELATIVE_RUN_TIME = 4;

  private final PolicyState state = new PolicyState(PACKING.withInitialCapacityShare(1));
  private final Placement placement = new Placement(state);

  @Test
  void packingPrefersTheFullerWorker() {
    state.allocations.updateWorker(TestFixtures.worker("w1"));
    state.allocations.updateWorker(TestFixtures.worker("w2"));
    state.allocate(
        TestFixtures.firstAttempts("j1", TestFixtures.batch("mill", 1)).get(0), job("j1"), "w2", 0);

    assertThat(chosen(job("j2"))).isEqualTo("w2");
  }

  @Test
  void waitingAvoidsTheSlowerWorker() {
    state.settings = WAITING;
    WorkerLoad slow = state.allocations.updateWorker(TestFixtures.worker("w1"));
    state.allocations.updateWorker(TestFixtures.worker("w2"));
    slow.capacityEstimator.runCompleted(SLOW_RELATIVE_RUN_TIME, true, 0);

    assertThat(chosen(job("j1"))).isEqualTo("w2");
  }

  @Test
  void workersWhereTheJobFailedAreAvoided() {
    state.allocations.updateWorker(TestFixtures.worker("w1"));
    state.allocations.updateWorker(TestFixtures.worker("w2"));
    QueuedJob job = job("j1");
    job.failedWorkers.add("w1");

    assertThat(chosen(job)).isEqualTo("w2");
  }

  @Test
  void reservedWorkersAcceptOnlyTheirJob() {
    WorkerLoad reserved = state.allocations.updateWorker(TestFixtures.worker("w1"));
    reserved.reservation = new Reservation(job("j1"), List.of(reserved), 1_000, false);

    assertThat(placement.choose(job("j2"), 0)).isNull();
  }

  private String chosen(QueuedJob job) {
    return placement.choose(job, 0).workerId;
  }

  private static QueuedJob job(String jobId) {
    JobSpec spec = TestFixtures.batch("mill", 1);
    QueuedJob job = new QueuedJob(jobId, spec);
    job.addWaiting(TestFixtures.firstAttempts(jobId, spec));
    return job;
  }
}
