package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests quarantine and giving up with a faulty worker, faulty jobs, and both at once. */
final class FailureAttributionTest {

  private static final int WORKERS = 8;
  private static final int ROUNDS = 300;
  private static final long ROUND_MS = 200;
  private static final long MAX_PROBE_DELAY_MS = 600_000;
  private static final String FAULTY_WORKER = "w0";

  private final PolicyScheduler scheduler =
      new PolicyScheduler(
          PolicySettings.DEFAULT.withInitialCapacityShare(1), new SplittableRandom(7));
  private final Set<String> givenUp = new HashSet<>();
  private long nowMs;
  private int startsOnFaultyWorker;

  @BeforeEach
  void addWorkers() {
    for (int i = 0; i < WORKERS; i++) {
      scheduler.workerAvailable(TestFixtures.worker("w" + i), 0);
    }
  }

  @Test
  void quarantinesWorkerOnWhichEveryTaskFails() {
    run(start -> start.workerId().equals(FAULTY_WORKER), 1);

    assertThat(startsOnFaultyWorker).isLessThan(30);
    assertThat(givenUp).isEmpty();
  }

  @Test
  void givesUpJobsThatFailOnEveryWorker() {
    run(start -> start.task().jobId().startsWith("bad"), 1);

    assertThat(givenUp).containsExactly("bad-0", "bad-1", "bad-2");
  }

  @Test
  void distinguishesFaultyJobsFromFaultyWorker() {
    run(
        start -> start.workerId().equals(FAULTY_WORKER) || start.task().jobId().startsWith("bad"),
        1);

    assertThat(givenUp).containsExactly("bad-0", "bad-1", "bad-2");
    assertThat(startsOnFaultyWorker).isLessThan(30);
  }

  @Test
  void endsQuarantineOfRepairedWorker() {
    run(start -> start.workerId().equals(FAULTY_WORKER), 1);
    startsOnFaultyWorker = 0;
    run(start -> false, 2);

    assertThat(startsOnFaultyWorker).isGreaterThan(100);
  }

  @Test
  void probesQuarantinedWorkerWithJobThatFitsOnNoOther() {
    WorkerProfile special =
        new WorkerProfile(FAULTY_WORKER, "rack-1", TestFixtures.WORKER_WITH_ACCELERATORS, false);
    scheduler.workerAvailable(special, 0);
    run(start -> start.workerId().equals(FAULTY_WORKER), 1);
    Resources accelerated = new Resources(1, 1, 1_000, 1_024, 1);
    JobSpec nonRepeatable =
        TestFixtures.job("mill", "plate", JobKind.BATCH, JobClass.URGENT, 1, accelerated, false);
    TestFixtures.submit(scheduler, "plate", nonRepeatable, nowMs);
    List<String> started = new ArrayList<>(TestFixtures.startedJobs(scheduler.decide(nowMs)));
    nowMs += MAX_PROBE_DELAY_MS;
    started.addAll(TestFixtures.startedJobs(scheduler.decide(nowMs)));

    assertThat(started).contains("plate");
  }

  private void run(Predicate<Decision.Start> fails, int phase) {
    for (int i = 0; i < 3; i++) {
      submit("bad-" + i, "broken", phase);
    }
    List<Decision.Start> running = List.of();
    for (int round = 0; round < ROUNDS; round++) {
      nowMs += ROUND_MS;
      running.forEach(start -> end(start, fails.test(start)));
      for (int i = 0; i < 2 * WORKERS; i++) {
        submit("good-" + phase + "-" + round + "-" + i, "proof", phase);
      }
      running = recordDecisions(scheduler.decide(nowMs));
    }
    running.forEach(start -> end(start, false));
  }

  private void submit(String jobId, String name, int phase) {
    JobSpec spec =
        TestFixtures.job(
            "team-" + phase, name, JobKind.BATCH, JobClass.NORMAL, 1, TestFixtures.SMALL, true);
    TestFixtures.submit(scheduler, jobId, spec, nowMs);
  }

  private void end(Decision.Start start, boolean failed) {
    TaskEnd end = failed ? TestFixtures.failed() : TestFixtures.succeeded(ROUND_MS);
    scheduler.taskEnded(start.task(), end, nowMs);
  }

  private List<Decision.Start> recordDecisions(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.GiveUp giveUp) {
        givenUp.add(giveUp.jobId());
      }
    }
    List<Decision.Start> starts = TestFixtures.starts(decisions);
    startsOnFaultyWorker +=
        (int) starts.stream().filter(start -> start.workerId().equals(FAULTY_WORKER)).count();
    return starts;
  }
}
