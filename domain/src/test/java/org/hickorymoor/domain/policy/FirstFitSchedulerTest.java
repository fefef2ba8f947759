package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.domain.policy.TestFixtures.batch;
import static org.hickorymoor.domain.policy.TestFixtures.failed;
import static org.hickorymoor.domain.policy.TestFixtures.nonRepeatable;
import static org.hickorymoor.domain.policy.TestFixtures.startedJobs;
import static org.hickorymoor.domain.policy.TestFixtures.starts;
import static org.hickorymoor.domain.policy.TestFixtures.submit;
import static org.hickorymoor.domain.policy.TestFixtures.urgent;
import static org.hickorymoor.domain.policy.TestFixtures.worker;

import java.util.List;
import java.util.SplittableRandom;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;
import org.junit.jupiter.api.Test;

final class FirstFitSchedulerTest {

  private static final long SEED = 7;
  private static final long LATER_MS = 60_000;

  private final FirstFitScheduler scheduler = new FirstFitScheduler(new SplittableRandom(SEED));

  @Test
  void startsNoMoreThanTheDeclaredSlots() {
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 20), 0);

    assertThat(starts(scheduler.decide(0))).hasSize(8);
    assertThat(scheduler.decide(1)).isEmpty();
  }

  @Test
  void urgentJobsStartFirst() {
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 20), 0);
    submit(scheduler, "j2", urgent("studio"), 0);

    assertThat(startedJobs(scheduler.decide(0)).get(0)).isEqualTo("j2");
  }

  @Test
  void allAtOnceJobStartsAllTasksOrNone() {
    JobSpec nine =
        TestFixtures.job("mill", JobKind.ALL_AT_ONCE, JobClass.NORMAL, 9, TestFixtures.SMALL);
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", nine, 0);
    assertThat(scheduler.decide(0)).isEmpty();

    scheduler.workerAvailable(worker("w2"), 1);
    assertThat(starts(scheduler.decide(1))).hasSize(9);
  }

  @Test
  void retriesWithTheNextAttemptAfterTheBackOff() {
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 1), 0);
    scheduler.decide(0);
    scheduler.taskEnded(new TaskId("j1", 0, 1), failed(), 10);

    assertThat(scheduler.decide(10)).isEmpty();
    assertThat(starts(scheduler.decide(LATER_MS)))
        .containsExactly(new Decision.Start(new TaskId("j1", 0, 2), "w1"));
  }

  @Test
  void neverRetriesNonRepeatableJobs() {
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", nonRepeatable("mill"), 0);
    scheduler.decide(0);
    scheduler.taskEnded(new TaskId("j1", 0, 1), failed(), 10);

    assertThat(scheduler.decide(LATER_MS)).isEmpty();
  }

  @Test
  void restartsServicesWheneverTheyEnd() {
    scheduler.workerAvailable(worker("w1"), 0);
    JobSpec service =
        TestFixtures.job("mill", JobKind.SERVICE, JobClass.NORMAL, 1, TestFixtures.SMALL);
    submit(scheduler, "j1", service, 0);
    scheduler.decide(0);
    scheduler.taskEnded(new TaskId("j1", 0, 1), TestFixtures.succeeded(10), 10);

    assertThat(startedJobs(scheduler.decide(LATER_MS))).containsExactly("j1");
  }

  @Test
  void givesUpWhenTheRetriesAreExhausted() {
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 1), 0);
    List<Decision> decisions = scheduler.decide(0);
    long nowMs = 0;
    while (!starts(decisions).isEmpty()) {
      scheduler.taskEnded(starts(decisions).get(0).task(), failed(), nowMs);
      nowMs += LATER_MS;
      decisions = scheduler.decide(nowMs);
    }

    Decision.GiveUp giveUp = (Decision.GiveUp) decisions.get(0);
    assertThat(giveUp.reason().type()).isEqualTo(ReasonType.FAILED_REPEATEDLY);
  }

  @Test
  void doesNotStartCancelledJobs() {
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 2), 0);
    scheduler.cancel("j1");

    assertThat(scheduler.decide(0)).isEmpty();
  }

  @Test
  void allocatesRecoveredTasks() {
    scheduler.workerAvailable(worker("w1"), 0);
    JobSpec whole =
        TestFixtures.job("mill", JobKind.BATCH, JobClass.NORMAL, 1, TestFixtures.WHOLE_WORKER);
    scheduler.taskRecovered(new TaskId("j1", 0, 1), whole, "w1", 0);
    submit(scheduler, "j2", urgent("studio"), 0);

    assertThat(scheduler.decide(0)).isEmpty();
  }
}
