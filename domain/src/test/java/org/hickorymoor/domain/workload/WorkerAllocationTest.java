package org.hickorymoor.domain.workload;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class WorkerAllocationTest {

  private static final QueuePolicy POLICY = new QueuePolicy("q", "pool", 0, 2, 2, 100, null);

  private static WorkerAllocation worker(String id, String rack) {
    return new WorkerAllocation(
        new WorkerDescriptor(
            id, "a", "pool", "d", rack, Set.of("a", rack), 4_000, 8_000, 1, false, -1));
  }

  private static TaskProgress task(
      int cpuMillis,
      @Nullable String label,
      @Nullable String dataRack,
      int maxPerWorker,
      boolean bestEffort,
      long responseTimeTargetMs,
      int index) {
    StepSpec spec =
        new StepSpec(
            5,
            cpuMillis,
            1_000,
            0,
            300,
            List.of(),
            false,
            false,
            false,
            label,
            dataRack,
            maxPerWorker,
            false,
            false,
            "",
            responseTimeTargetMs,
            bestEffort,
            0);
    JobProgress job =
        new JobProgress(
            new Submission("job", 0, POLICY, new WorkloadSpec("p", List.of(spec), 0, 0, 0)));
    return job.steps(0).get(0).tasks().get(index);
  }

  private static TaskProgress task(int cpuMillis, int index) {
    return task(cpuMillis, null, null, 0, false, 0, index);
  }

  @Test
  void labelMaxPerWorkerAndFreeCpuDecideWhetherTaskFits() {
    WorkerAllocation worker = worker("w", "r1-1");
    assertThat(worker.fits(task(1_000, "b", null, 0, false, 0, 0), 0)).isFalse();
    assertThat(worker.fits(task(1_000, "a", null, 0, false, 0, 0), 0)).isTrue();
    assertThat(worker.fits(task(3_500, 0), 1_000)).isFalse();

    TaskProgress first = task(100, null, null, 1, false, 0, 0);
    worker.reserve(first.id(), 1, first.spec());
    assertThat(worker.fits(task(100, null, null, 1, false, 0, 1), 0)).isFalse();
    worker.release(first.id(), 1);
    assertThat(worker.fits(task(100, null, null, 1, false, 0, 1), 0)).isTrue();
  }

  @Test
  void workerWhoseCapacityShrinksBelowItsReservationsIsOverCommitted() {
    WorkerAllocation worker = worker("w", "r1-1");
    TaskProgress task = task(3_000, 0);
    worker.reserve(task.id(), 1, task.spec());
    assertThat(worker.isOverCommitted()).isFalse();

    worker.update(
        new WorkerDescriptor("w", "a", "pool", "d", "r1-1", Set.of(), 2_000, 8_000, 1, false, -1));
    assertThat(worker.isOverCommitted()).isTrue();
    assertThat(worker.fits(task(0, 1), 0)).isFalse();
    worker.release(task.id(), 1);
    assertThat(worker.isOverCommitted()).isFalse();
  }

  @Test
  void bestEffortTaskReservesMemoryOnly() {
    WorkerAllocation worker = worker("w", "r1-1");
    TaskProgress bestEffort = task(4_000, null, null, 0, true, 0, 0);
    worker.reserve(bestEffort.id(), 1, bestEffort.spec());

    assertThat(worker.freeCpuMillis()).isEqualTo(4_000);
    assertThat(worker.freeMemoryMb()).isEqualTo(7_000);
  }

  @Test
  void rackOfDataCostsLessAndWorkerOfFailureCostsMore() {
    TaskProgress task = task(1_000, null, "r1-2", 0, false, 0, 0);
    WorkerAllocation remote = worker("remote", "r1-1");
    WorkerAllocation local = worker("local", "r1-2");
    assertThat(local.cost(task, null)).isLessThan(remote.cost(task, null));

    task.recordFailure("local");
    assertThat(remote.cost(task, null)).isLessThan(local.cost(task, null));
  }

  // Guards against losing a full worker's runs to a task that has crashed another worker before.
  @Test
  void taskThatMayCrashItsWorkerPrefersTheOneWithFewestRuns() {
    WorkerAllocation busy = worker("busy", "r1-1");
    for (int index = 1; index < 4; index++) {
      TaskProgress other = task(500, index);
      busy.reserve(other.id(), 1, other.spec());
    }
    WorkerAllocation idle = worker("idle", "r1-1");
    TaskProgress task = task(1_000, 0);
    assertThat(busy.cost(task, null)).isLessThan(idle.cost(task, null));

    task.recordWorkerCrash(1, CrashEvidence.UNCERTAIN);
    assertThat(idle.cost(task, null)).isLessThan(busy.cost(task, null));
  }

  @Test
  void bestEffortAndLatencySensitiveTasksAreSeparated() {
    WorkerAllocation latencySensitive = worker("serving", "r1-1");
    TaskProgress service = task(1_000, null, null, 0, false, 50, 0);
    latencySensitive.reserve(service.id(), 1, service.spec());
    TaskProgress bestEffort = task(1_000, null, null, 0, true, 0, 1);

    assertThat(worker("idle", "r1-1").cost(bestEffort, null))
        .isLessThan(latencySensitive.cost(bestEffort, null));
  }

  /** Guards against an explanation of a cost that differs from the cost that decides. */
  @Test
  void partsOfCostAddUpToCost() {
    WorkerAllocation worker = worker("w", "r1-1");
    TaskProgress service = task(700, null, null, 0, false, 50, 0);
    worker.reserve(service.id(), 1, service.spec());
    worker.recordSuccess(450, 300);
    TaskProgress bestEffort = task(1_000, null, "r2-2", 0, true, 0, 1);
    bestEffort.recordWorkerCrash(1, CrashEvidence.UNCERTAIN);

    double sum = 0;
    for (double part : worker.costParts(bestEffort, "r3-3").values()) {
      sum += part;
    }
    assertThat(sum).isEqualTo(worker.cost(bestEffort, "r3-3"));
  }

  @Test
  void workerIsUnhealthyAfterConsecutiveFailuresUntilRunSucceeds() {
    WorkerAllocation worker = worker("w", "r1-1");
    for (int i = 0; i < 4; i++) {
      worker.recordFailure();
    }
    assertThat(worker.isUnhealthy()).isTrue();

    worker.recordSuccess(300, 300);
    assertThat(worker.isUnhealthy()).isFalse();
  }

  @Property(tries = 300)
  void allCapacityIsFreeAfterRelease(
      @ForAll @Size(max = 30) List<@IntRange(max = 4) Integer> indexes) {
    WorkerAllocation worker = worker("w", "r1-1");
    List<TaskProgress> reserved = new ArrayList<>();
    for (int index : indexes) {
      TaskProgress task = task(100 + index, index);
      worker.reserve(task.id(), 1, task.spec());
      worker.reserve(task.id(), 1, task.spec());
      reserved.add(task);
    }
    reserved.forEach(task -> worker.release(task.id(), 1));
    reserved.forEach(task -> worker.release(task.id(), 1));

    assertThat(worker.freeCpuMillis()).isEqualTo(4_000);
    assertThat(worker.freeMemoryMb()).isEqualTo(8_000);
    assertThat(worker.runs()).isEqualTo(0);
  }
}
