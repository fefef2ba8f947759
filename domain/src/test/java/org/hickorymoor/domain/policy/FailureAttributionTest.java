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

/** Bad workers and bad jobs, alone and together. */
final class FailureAttributionTest {

  private static final int WORKERS = 8;
  private static final int ROUNDS = 300;
  private static final long ROUND_MS = 200;
  private static final long MAX_PROBE_DELAY_MS = 600_000;
  private static final String BAD_WORKER = "w0";

  private final PolicyScheduler scheduler =
      new PolicyScheduler(
          PolicySettings.DEFAULT.withInitialCapacityShare(1), new SplittableRandom(7));
  private final Set<String> givenUp = new HashSet<>();
  private long nowMs;
  private int startsOnBadWorker;

  @BeforeEach
  void addWorkers() {
    for (int i = 0; i < WORKERS; i++) {
      scheduler.workerAvailable(TestFixtures.worker("w" + i), 0);
    }
  }

  @Test
  void setsAsideWorkerThatFailsEverything() {
    run(start -> start.workerId().equals(BAD_WORKER), 1);

    assertThat(startsOnBadWorker).isLessThan(30);
    assertThat(givenUp).isEmpty();
  }

  @Test
  void givesUpJobsThatFailEverywhere() {
    run(start -> start.task().jobId().startsWith("bad"), 1);

    assertThat(givenUp).containsExactly("bad-0", "bad-1", "bad-2");
  }

  @Test
  void tellsThemApartWhenBothComeTogether() {
    run(start -> start.workerId().equals(BAD_WORKER) || start.task().jobId().startsWith("bad"), 1);

    assertThat(givenUp).containsExactly("bad-0", "bad-1", "bad-2");
    assertThat(startsOnBadWorker).isLessThan(30);
  }

  @Test
  void takesRepairedWorkerBack() {
    run(start -> start.workerId().equals(BAD_WORKER), 1);
    startsOnBadWorker = 0;
    run(start -> false, 2);

    assertThat(startsOnBadWorker).isGreaterThan(100);
  }

  @Test
  void triesSuspectWorkerWithWhateverOnlyItCouldHold() {
    WorkerProfile special =
        new WorkerProfile(BAD_WORKER, "rack-1", TestFixtures.WORKER_WITH_ACCELERATORS, false);
    scheduler.workerAvailable(special, 0);
    run(start -> start.workerId().equals(BAD_WORKER), 1);
    Resources accelerated = new Resources(1, 1, 1_000, 1_024, 1);
    JobSpec once =
        TestFixtures.job("mill", "plate", JobKind.BATCH, JobClass.URGENT, 1, accelerated, false);
    TestFixtures.submit(scheduler, "plate", once, nowMs);
    List<String> started = new ArrayList<>(TestFixtures.startedJobs(scheduler.decide(nowMs)));
    nowMs += MAX_PROBE_DELAY_MS;
    started.addAll(TestFixtures.startedJobs(scheduler.decide(nowMs)));

    assertThat(started).contains("plate");
  }

  private void run(Predicate<Decision.Start> fails, int part) {
    for (int i = 0; i < 3; i++) {
      submit("bad-" + i, "broken", part);
    }
    List<Decision.Start> running = List.of();
    for (int round = 0; round < ROUNDS; round++) {
      nowMs += ROUND_MS;
      running.forEach(start -> end(start, fails.test(start)));
      for (int i = 0; i < 2 * WORKERS; i++) {
        submit("good-" + part + "-" + round + "-" + i, "proof", part);
      }
      running = note(scheduler.decide(nowMs));
    }
    running.forEach(start -> end(start, false));
  }

  private void submit(String jobId, String name, int part) {
    JobSpec spec =
        TestFixtures.job(
            "team-" + part, name, JobKind.BATCH, JobClass.NORMAL, 1, TestFixtures.SMALL, true);
    TestFixtures.submit(scheduler, jobId, spec, nowMs);
  }

  private void end(Decision.Start start, boolean failed) {
    TaskEnd end = failed ? TestFixtures.failed() : TestFixtures.succeeded(ROUND_MS);
    scheduler.taskEnded(start.task(), end, nowMs);
  }

  private List<Decision.Start> note(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.GiveUp giveUp) {
        givenUp.add(giveUp.jobId());
      }
    }
    List<Decision.Start> starts = TestFixtures.starts(decisions);
    startsOnBadWorker +=
        (int) starts.stream().filter(start -> start.workerId().equals(BAD_WORKER)).count();
    return starts;
  }
}
