package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.domain.policy.Examples.batch;
import static org.hickorymoor.domain.policy.Examples.failed;
import static org.hickorymoor.domain.policy.Examples.once;
import static org.hickorymoor.domain.policy.Examples.startedJobs;
import static org.hickorymoor.domain.policy.Examples.starts;
import static org.hickorymoor.domain.policy.Examples.submit;
import static org.hickorymoor.domain.policy.Examples.urgent;
import static org.hickorymoor.domain.policy.Examples.worker;

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
    scheduler.workerSeen(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 20), 0);

    assertThat(starts(scheduler.decide(0))).hasSize(8);
    assertThat(scheduler.decide(1)).isEmpty();
  }

  @Test
  void urgentWorkGoesFirst() {
    scheduler.workerSeen(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 20), 0);
    submit(scheduler, "j2", urgent("studio"), 0);

    assertThat(startedJobs(scheduler.decide(0)).get(0)).isEqualTo("j2");
  }

  @Test
  void allAtOnceStartsWholeOrNotAtAll() {
    JobSpec nine = Examples.job("mill", JobKind.ALL_AT_ONCE, JobClass.NORMAL, 9, Examples.SMALL);
    scheduler.workerSeen(worker("w1"), 0);
    submit(scheduler, "j1", nine, 0);
    assertThat(scheduler.decide(0)).isEmpty();

    scheduler.workerSeen(worker("w2"), 1);
    assertThat(starts(scheduler.decide(1))).hasSize(9);
  }

  @Test
  void retriesWithTheNextAttemptAfterTheBackOff() {
    scheduler.workerSeen(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 1), 0);
    scheduler.decide(0);
    scheduler.taskEnded(new TaskId("j1", 0, 1), failed(), 10);

    assertThat(scheduler.decide(10)).isEmpty();
    assertThat(starts(scheduler.decide(LATER_MS)))
        .containsExactly(new Decision.Start(new TaskId("j1", 0, 2), "w1"));
  }

  @Test
  void neverRetriesWhatMustNotBeRepeated() {
    scheduler.workerSeen(worker("w1"), 0);
    submit(scheduler, "j1", once("mill"), 0);
    scheduler.decide(0);
    scheduler.taskEnded(new TaskId("j1", 0, 1), failed(), 10);

    assertThat(scheduler.decide(LATER_MS)).isEmpty();
  }

  @Test
  void restartsServicesWheneverTheyEnd() {
    scheduler.workerSeen(worker("w1"), 0);
    JobSpec service = Examples.job("mill", JobKind.SERVICE, JobClass.NORMAL, 1, Examples.SMALL);
    submit(scheduler, "j1", service, 0);
    scheduler.decide(0);
    scheduler.taskEnded(new TaskId("j1", 0, 1), Examples.succeeded(10), 10);

    assertThat(startedJobs(scheduler.decide(LATER_MS))).containsExactly("j1");
  }

  @Test
  void givesUpWhenTheRetriesAreUsedUp() {
    scheduler.workerSeen(worker("w1"), 0);
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
  void startsNothingOfCancelledJobs() {
    scheduler.workerSeen(worker("w1"), 0);
    submit(scheduler, "j1", batch("mill", 2), 0);
    scheduler.cancel("j1");

    assertThat(scheduler.decide(0)).isEmpty();
  }

  @Test
  void countsFoundTasksAsInUse() {
    scheduler.workerSeen(worker("w1"), 0);
    JobSpec whole = Examples.job("mill", JobKind.BATCH, JobClass.NORMAL, 1, Examples.WHOLE_WORKER);
    scheduler.taskFound(new TaskId("j1", 0, 1), whole, "w1", 0);
    submit(scheduler, "j2", urgent("studio"), 0);

    assertThat(scheduler.decide(0)).isEmpty();
  }
}
