package org.hickorymoor.domain.workload;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load pattern: 30 workers of 8, 16 and 32 cores. Tasks of 1 to 4 cores come and go and use about
 * half of the pool, while tasks of 28 cores, which only large workers hold, arrive now and then.
 */
final class WorkerSizeTest {

  private static final QueuePolicy POLICY = new QueuePolicy("q", "pool", 1, 2, 2, 100, null);
  private static final int LARGE_CPU_MILLIS = 28_000;
  private static final double SMALL_RUN_MS = 2_000;

  private record Run(long endMs, WorkerAllocation worker, TaskProgress task) {}

  private static WorkerAllocation worker(String id, String rack, int cores) {
    return new WorkerAllocation(
        new WorkerDescriptor(
            id, id, "pool", "d", rack, Set.of(), cores * 1_000, cores * 4_000, 0, false, -1));
  }

  private static TaskProgress task(
      String job, int cpuMillis, @Nullable String dataRack, boolean sameRack) {
    StepSpec spec =
        new StepSpec(
            1,
            cpuMillis,
            cpuMillis * 2,
            0,
            300,
            List.of(),
            false,
            false,
            sameRack,
            null,
            dataRack,
            0,
            false,
            false,
            "",
            0,
            false,
            0);
    return new JobProgress(
            new Submission(job, 0, POLICY, new WorkloadSpec("p", List.of(spec), 0, 0, 0)))
        .steps(0)
        .get(0)
        .tasks()
        .get(0);
  }

  private static @Nullable WorkerAllocation best(
      List<WorkerAllocation> workers, TaskProgress task) {
    return workers.stream()
        .filter(
            worker ->
                worker.fits(
                    task, UrgentHeadroom.keepFreeCpuMillis(POLICY.priority(), task.spec(), worker)))
        .min(Comparator.comparingDouble(worker -> worker.cost(task, null)))
        .orElse(null);
  }

  /** Guards against small tasks on large workers, beside which large tasks find no room. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void largeTasksFindRoomAmongSmallOnes(long seed) {
    Random random = new Random(seed);
    List<WorkerAllocation> workers = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      workers.add(worker("w" + i, "r1", 8 << i % 3));
    }
    PriorityQueue<Run> running = new PriorityQueue<>(Comparator.comparingLong(Run::endMs));
    int large = 0;
    int largePlaced = 0;
    for (long nowMs = 0; nowMs < 60_000; nowMs += 17) {
      while (!running.isEmpty() && running.peek().endMs() <= nowMs) {
        Run ended = running.remove();
        ended.worker().release(ended.task().id(), 1);
      }
      boolean isLarge = nowMs > 10_000 && random.nextInt(100) == 0;
      int cpuMillis = isLarge ? LARGE_CPU_MILLIS : 1_000 * (1 + random.nextInt(4));
      TaskProgress task = task("job" + nowMs, cpuMillis, null, false);
      WorkerAllocation chosen = best(workers, task);
      large += isLarge ? 1 : 0;
      if (chosen != null) {
        largePlaced += isLarge ? 1 : 0;
        chosen.reserve(task.id(), 1, task.spec());
        double tookMs = -Math.log(1 - random.nextDouble()) * SMALL_RUN_MS;
        running.add(new Run(nowMs + 1 + (long) tookMs, chosen, task));
      }
    }

    assertThat(large).isGreaterThan(10);
    assertThat(largePlaced).isAtLeast(large * 95 / 100);
  }

  /** Guards against a task that is kept from its data because a smaller worker is elsewhere. */
  @Test
  void sizeDoesNotOutweighTheRackOfTheData() {
    WorkerAllocation near = worker("near", "r1", 32);
    WorkerAllocation far = worker("far", "r2", 1);
    TaskProgress task = task("job", 1_000, "r1", false);

    assertThat(near.cost(task, null)).isLessThan(far.cost(task, null));
  }

  /** Guards against gangs that begin in a rack of small workers, which doesn't hold them all. */
  @Test
  void sizeDoesNotDecideTheRackOfGangs() {
    TaskProgress task = task("job", 1_000, null, true);

    assertThat(worker("large", "r1", 32).cost(task, null))
        .isEqualTo(worker("small", "r2", 8).cost(task, null));
  }

  /** Guards against a task of nearly a whole worker in a lower queue that is never placed. */
  @Test
  void taskOfNearlyWholeWorkerIsPlacedOnEmptyWorker() {
    WorkerAllocation worker = worker("w", "r1", 16);
    TaskProgress whole = task("whole", 15_500, null, false);
    TaskProgress small = task("small", 1_000, null, false);

    assertThat(best(List.of(worker), whole)).isEqualTo(worker);
    worker.reserve(small.id(), 1, small.spec());
    assertThat(best(List.of(worker), whole)).isNull();
    assertThat(best(List.of(worker), task("most", 14_500, null, false))).isNull();
  }

  @Test
  void forecastIsTheEndOfTheRunThatMakesRoom() {
    WorkerAllocation worker = worker("w", "r1", 16);
    List<RoomForecast.Run> runs = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      TaskProgress task = task("job" + i, 4_000, null, false);
      worker.reserve(task.id(), 1, task.spec());
      runs.add(new RoomForecast.Run(task.spec(), i == 4 ? RoomForecast.NEVER_MS : i * 100));
    }

    assertThat(untilFits(worker, 4_000, 0, runs)).isEqualTo(100);
    assertThat(untilFits(worker, 7_000, 1_000, runs)).isEqualTo(200);
    assertThat(untilFits(worker, 12_000, 0, runs)).isEqualTo(300);
    assertThat(untilFits(worker, 13_000, 0, runs)).isEqualTo(RoomForecast.NEVER_MS);
  }

  /**
   * Guards against a reservation of a worker on which a small run keeps a task of its size away.
   */
  @Test
  void forecastOfNearlyWholeWorkerIsTheEndOfItsLastRun() {
    WorkerAllocation worker = worker("w", "r1", 16);
    TaskProgress small = task("small", 400, null, false);
    worker.reserve(small.id(), 1, small.spec());
    TaskProgress whole = task("whole", 15_500, null, false);
    int keepFree = UrgentHeadroom.keepFreeOnceFree(POLICY.priority(), whole.spec(), worker);

    assertThat(
            untilFits(worker, 15_500, keepFree, List.of(new RoomForecast.Run(small.spec(), 700))))
        .isEqualTo(700);
    TaskProgress tooLarge = task("tooLarge", 16_500, null, false);
    worker.release(small.id(), 1);
    assertThat(best(List.of(worker), tooLarge)).isNull();
  }

  private static long untilFits(
      WorkerAllocation worker, int cpuMillis, int keepFree, List<RoomForecast.Run> runs) {
    return RoomForecast.msUntilFits(
        worker, task("wide", cpuMillis, null, false).spec(), keepFree, runs);
  }
}
