package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.domain.policy.TestFixtures.SMALL;
import static org.hickorymoor.domain.policy.TestFixtures.batch;
import static org.hickorymoor.domain.policy.TestFixtures.failed;
import static org.hickorymoor.domain.policy.TestFixtures.job;
import static org.hickorymoor.domain.policy.TestFixtures.nonRepeatable;
import static org.hickorymoor.domain.policy.TestFixtures.startedJobs;
import static org.hickorymoor.domain.policy.TestFixtures.starts;
import static org.hickorymoor.domain.policy.TestFixtures.stopped;
import static org.hickorymoor.domain.policy.TestFixtures.submit;
import static org.hickorymoor.domain.policy.TestFixtures.succeeded;
import static org.hickorymoor.domain.policy.TestFixtures.urgent;
import static org.hickorymoor.domain.policy.TestFixtures.worker;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;
import org.junit.jupiter.api.Test;

final class PolicySchedulerTest {

  private static final long SEED = 7;
  private static final long LATER_MS = 60_000;
  private static final Resources TOO_LARGE = new Resources(9, 1, 1_000, 1_024, 0);

  private final PolicySettings settings =
      PolicySettings.DEFAULT.withInitialCapacityShare(1).withGiveUpNeverFits(true);
  private final PolicyScheduler scheduler = scheduler(settings);

  @Test
  void newWorkersStartWithPartOfTheirDeclaredCapacity() {
    PolicyScheduler withDefaults = scheduler(PolicySettings.DEFAULT);
    withDefaults.workerAvailable(worker("w1"), 0);
    submit(withDefaults, "j1", batch("mill", 20), 0);

    assertThat(starts(withDefaults.decide(0))).hasSize(4);
    assertThat(withDefaults.learnedCapacity("w1").slots()).isEqualTo(4);
  }

  @Test
  void learnedCapacityGrowsWhileTasksFinishOnTime() {
    PolicyScheduler withDefaults = scheduler(PolicySettings.DEFAULT);
    withDefaults.workerAvailable(worker("w1"), 0);
    submit(withDefaults, "j1", batch("mill", 200), 0);
    List<Decision.Start> running = starts(withDefaults.decide(0));
    for (int round = 1; round <= 10; round++) {
      long nowMs = round * 1_000L;
      running.forEach(start -> withDefaults.taskEnded(start.task(), succeeded(1_000), nowMs));
      running = starts(withDefaults.decide(nowMs));
    }

    assertThat(withDefaults.learnedCapacity("w1")).isEqualTo(TestFixtures.WORKER);
  }

  @Test
  void batchJobsOfOneTeamDoNotDelayUrgentJobsOfAnother() {
    scheduler.workerAvailable(worker("w1"), 0);
    for (int i = 0; i < 10_000; i++) {
      submit(scheduler, "batch-" + i, batch("rival", 1), 0);
    }
    submit(scheduler, "preview", urgent("mill"), 0);

    assertThat(startedJobs(scheduler.decide(0)).get(0)).isEqualTo("preview");
  }

  @Test
  void stopsTheLatestBatchTaskForAnUrgentJob() {
    scheduler.workerAvailable(worker("w1"), 0);
    JobSpec normal = job("mill", JobKind.BATCH, JobClass.NORMAL, 6, SMALL);
    submit(scheduler, "normal", normal, 0);
    submit(scheduler, "early", batch("rival", 1), 0);
    scheduler.decide(0);
    submit(scheduler, "late", batch("rival", 1), 500);
    scheduler.decide(500);
    submit(scheduler, "preview", urgent("mill"), 1_000);
    scheduler.decide(1_000);

    List<Decision> decisions = scheduler.decide(1_200);
    assertThat(decisions)
        .containsExactly(new Decision.Preempt(new TaskId("late", 0, 1), "w1", false));
    scheduler.taskEnded(new TaskId("late", 0, 1), stopped(700), 1_300);
    assertThat(startedJobs(scheduler.decide(1_300))).containsExactly("preview");
  }

  @Test
  void throttlesBatchTasksWhereOnlyLearnedProcessorTimeIsShort() {
    PolicyScheduler withDefaults = scheduler(PolicySettings.DEFAULT);
    withDefaults.workerAvailable(worker("w1"), 0);
    Resources heavy = new Resources(1, 1, 2_600, 1_024, 0);
    submit(withDefaults, "batch", job("rival", JobKind.BATCH, JobClass.BATCH, 3, heavy), 0);
    withDefaults.decide(0);
    submit(withDefaults, "preview", urgent("mill"), 1_000);
    withDefaults.decide(1_000);

    assertThat(withDefaults.decide(1_200))
        .containsExactly(new Decision.Throttle(new TaskId("batch", 0, 1), "w1", 50));
    assertThat(startedJobs(withDefaults.decide(1_300))).containsExactly("preview");
    withDefaults.taskEnded(new TaskId("preview", 0, 1), succeeded(100), 1_400);
    withDefaults.taskEnded(new TaskId("batch", 1, 1), succeeded(1_400), 1_400);
    assertThat(withDefaults.decide(1_400))
        .containsExactly(new Decision.Throttle(new TaskId("batch", 0, 1), "w1", 100));
  }

  @Test
  void neverPreemptsNonRepeatableJobs() {
    scheduler.workerAvailable(worker("w1"), 0);
    JobSpec plates = job("rival", "plate", JobKind.BATCH, JobClass.BATCH, 8, SMALL, false);
    submit(scheduler, "plates", plates, 0);
    scheduler.decide(0);
    submit(scheduler, "preview", urgent("mill"), 1_000);

    assertThat(scheduler.decide(LATER_MS)).isEmpty();
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
  void retriesAttemptsThatNeverStartedEvenIfNotRepeatable() {
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", nonRepeatable("mill"), 0);
    scheduler.decide(0);
    TaskEnd notStarted = new TaskEnd(TaskEnd.Outcome.NOT_STARTED, 0);
    scheduler.taskEnded(new TaskId("j1", 0, 1), notStarted, 10);

    assertThat(starts(scheduler.decide(LATER_MS)))
        .containsExactly(new Decision.Start(new TaskId("j1", 0, 2), "w1"));
  }

  @Test
  void drainsWorkersForAnAllAtOnceJobThatHasWaitedLong() {
    scheduler.workerAvailable(worker("w1"), 0);
    scheduler.workerAvailable(worker("w2"), 0);
    submit(scheduler, "small", batch("rival", 1_000), 0);
    final List<Decision.Start> running = starts(scheduler.decide(0));
    JobSpec together = job("mill", JobKind.ALL_AT_ONCE, JobClass.NORMAL, 16, SMALL);
    submit(scheduler, "together", together, 1);
    assertThat(scheduler.decide(LATER_MS)).isEmpty();

    running.forEach(start -> scheduler.taskEnded(start.task(), succeeded(10), LATER_MS + 1));
    assertThat(startedJobs(scheduler.decide(LATER_MS + 1))).hasSize(16);
    assertThat(scheduler.explain("together", LATER_MS + 1)).isEmpty();
  }

  @Test
  void twoLargeAllAtOnceJobsBothMakeProgress() {
    scheduler.workerAvailable(worker("w1"), 0);
    scheduler.workerAvailable(worker("w2"), 0);
    JobSpec together = job("mill", JobKind.ALL_AT_ONCE, JobClass.NORMAL, 12, SMALL);
    submit(scheduler, "first", together, 0);
    submit(scheduler, "second", together, 0);

    List<Decision.Start> first = starts(scheduler.decide(0));
    assertThat(first).hasSize(12);
    first.forEach(start -> scheduler.taskEnded(start.task(), succeeded(10), LATER_MS));
    assertThat(startedJobs(scheduler.decide(LATER_MS))).hasSize(12);
  }

  @Test
  void givesUpJobsThatExceedEveryKnownWorker() {
    scheduler.workerAvailable(worker("w1"), 0);
    submit(scheduler, "j1", job("mill", JobKind.BATCH, JobClass.NORMAL, 1, TOO_LARGE), 0);

    Decision.GiveUp giveUp = (Decision.GiveUp) scheduler.decide(0).get(0);
    assertThat(giveUp.reason().type()).isEqualTo(ReasonType.NEVER_FITS);
  }

  @Test
  void keepsJobsWaitingForLargerWorkers() {
    PolicyScheduler withDefaults = scheduler(PolicySettings.DEFAULT);
    withDefaults.workerAvailable(worker("w1"), 0);
    submit(withDefaults, "j1", job("mill", JobKind.BATCH, JobClass.NORMAL, 1, TOO_LARGE), 0);
    submit(withDefaults, "j2", batch("mill", 1), 0);
    assertThat(startedJobs(withDefaults.decide(0))).containsExactly("j2");
    assertThat(withDefaults.explain("j1", 0).get(0)).contains("no present worker could hold");

    Resources large = new Resources(16, 64, 16_000, 32_768, 0);
    withDefaults.workerAvailable(new WorkerProfile("w2", "rack-1", large, false), 1);
    assertThat(startedJobs(withDefaults.decide(1))).containsExactly("j1");
  }

  @Test
  void teamAtItsQuotaLimitDoesNotBlockOthers() {
    TeamQuota quota = new TeamQuota(1, new Resources(2, 64, 16_000, 32_768, 0));
    PolicyScheduler limited = scheduler(settings.withQuotas(Map.of("mill", quota)));
    limited.workerAvailable(worker("w1"), 0);
    submit(limited, "j1", batch("mill", 5), 0);
    submit(limited, "j2", batch("rival", 3), 0);

    List<String> started = startedJobs(limited.decide(0));
    assertThat(started).containsExactly("j1", "j1", "j2", "j2", "j2");
  }

  @Test
  void rejectsJobsWithRetryDelayWhenTheQueueIsFull() {
    PolicyScheduler bounded = scheduler(settings.withQueueBounds(100, 10));
    submit(bounded, "j1", batch("mill", 8), 0);

    Admission admission = bounded.admit(batch("mill", 3), 0);
    assertThat(admission.reason().type()).isEqualTo(ReasonType.OVERLOADED);
    assertThat(admission.retryAfterMs()).isGreaterThan(0);
    assertThat(bounded.admit(batch("rival", 3), 0).accepted()).isTrue();
  }

  @Test
  void spreadsServicesOverRacks() {
    scheduler.workerAvailable(new WorkerProfile("w1", "rack-1", TestFixtures.WORKER, false), 0);
    scheduler.workerAvailable(new WorkerProfile("w2", "rack-1", TestFixtures.WORKER, false), 0);
    scheduler.workerAvailable(new WorkerProfile("w3", "rack-2", TestFixtures.WORKER, false), 0);
    submit(scheduler, "j1", job("mill", JobKind.SERVICE, JobClass.NORMAL, 2, SMALL), 0);

    List<String> workers =
        starts(scheduler.decide(0)).stream().map(Decision.Start::workerId).toList();
    assertThat(workers).contains("w3");
  }

  private static PolicyScheduler scheduler(PolicySettings settings) {
    return new PolicyScheduler(settings, new SplittableRandom(SEED));
  }
}
