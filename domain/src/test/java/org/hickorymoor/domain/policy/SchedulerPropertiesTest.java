package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.TaskId;

final class SchedulerPropertiesTest {

  private static final int SETTLE_ROUNDS = 400;
  private static final int WORKERS = 5;
  private static final int MAX_EVENT = 12_000;

  @Property(seed = "21", tries = 300)
  void firstFitSatisfiesInvariants(
      @ForAll @Size(max = 300) List<@IntRange(max = MAX_EVENT) Integer> events) {
    SchedulerModel model = new SchedulerModel(new FirstFitScheduler(new SplittableRandom(1)));
    events.forEach(model::step);
    model.settle(SETTLE_ROUNDS);

    assertThat(model.waitingJobs()).isEmpty();
    assertThat(model.startOnAllWorkers()).isEqualTo(WORKERS);
  }

  @Property(seed = "22", tries = 300)
  void policySatisfiesInvariants(
      @ForAll @Size(max = 300) List<@IntRange(max = MAX_EVENT) Integer> events) {
    SchedulerModel model =
        new SchedulerModel(new PolicyScheduler(PolicySettings.DEFAULT, new SplittableRandom(1)));
    events.forEach(model::step);
    model.settle(SETTLE_ROUNDS);

    assertThat(model.waitingJobs()).isEmpty();
    assertThat(model.startOnAllWorkers()).isEqualTo(WORKERS);
  }

  @Property(seed = "23", tries = 100)
  void allAtOnceJobStartsWithinTheReservationBound(
      @ForAll @IntRange(min = 1, max = 16) int size, @ForAll long loadSeed) {
    PolicySettings settings = PolicySettings.DEFAULT.withInitialCapacityShare(1);
    PolicyScheduler scheduler = new PolicyScheduler(settings, new SplittableRandom(1));
    scheduler.workerAvailable(TestFixtures.worker("w1"), 0);
    scheduler.workerAvailable(TestFixtures.worker("w2"), 0);
    SmallJobLoad load = new SmallJobLoad(scheduler, loadSeed);
    load.runUntil(20_000);
    JobSpec together =
        TestFixtures.job("mill", JobKind.ALL_AT_ONCE, JobClass.BATCH, size, TestFixtures.SMALL);
    TestFixtures.submit(scheduler, "together", together, load.nowMs);
    long boundMs = settings.reservationAfterMs() + SmallJobLoad.MAX_RUN_MS + SmallJobLoad.TICK_MS;
    load.runUntil(load.nowMs + boundMs);

    assertThat(load.started("together")).isTrue();
  }

  /** Continuously submits small jobs so that the workers stay fully used. */
  private static final class SmallJobLoad {

    static final long TICK_MS = 100;
    static final long MAX_RUN_MS = 8_000;
    private static final int TARGET_QUEUE_LENGTH = 64;

    private record End(long atMs, long ranMs, TaskId task) {}

    private final PriorityQueue<End> ends =
        new PriorityQueue<>((a, b) -> Long.compare(a.atMs, b.atMs));
    private final Set<String> startedJobs = new HashSet<>();
    private final CellScheduler scheduler;
    private final SplittableRandom random;
    private long nowMs;
    private int submitted;
    private int started;

    SmallJobLoad(CellScheduler scheduler, long seed) {
      this.scheduler = scheduler;
      this.random = new SplittableRandom(seed);
    }

    boolean started(String jobId) {
      return startedJobs.contains(jobId);
    }

    void runUntil(long endMs) {
      while (nowMs < endMs) {
        nowMs += TICK_MS;
        endTasks();
        submitTasks();
        TestFixtures.starts(scheduler.decide(nowMs)).forEach(this::recordStart);
      }
    }

    private void endTasks() {
      while (!ends.isEmpty() && ends.peek().atMs <= nowMs) {
        End end = ends.remove();
        scheduler.taskEnded(end.task, TestFixtures.succeeded(end.ranMs), nowMs);
      }
    }

    private void submitTasks() {
      while (submitted - started < TARGET_QUEUE_LENGTH) {
        JobSpec spec =
            TestFixtures.job("rival", JobKind.BATCH, JobClass.NORMAL, 1, TestFixtures.SMALL);
        TestFixtures.submit(scheduler, "small-" + submitted++, spec, nowMs);
      }
    }

    private void recordStart(Decision.Start start) {
      started += start.task().jobId().startsWith("small") ? 1 : 0;
      startedJobs.add(start.task().jobId());
      long runMs = random.nextLong(500, MAX_RUN_MS);
      ends.add(new End(nowMs + runMs, runMs, start.task()));
    }
  }
}
