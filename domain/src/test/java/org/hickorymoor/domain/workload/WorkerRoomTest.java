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

final class WorkerRoomTest {

  private static final QueuePolicy POLICY = new QueuePolicy("q", "pool", 0, 2, 2, 100, null);

  private static WorkerRoom room(String id, String rack) {
    return new WorkerRoom(
        new WorkerFacts(id, "a", "pool", "d", rack, Set.of("a", rack), 4_000, 8_000, 1, false));
  }

  private static TaskSlot slot(
      int cpuMillis,
      @Nullable String label,
      @Nullable String dataRack,
      int maxPerWorker,
      boolean filler,
      long targetMs,
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
            targetMs,
            filler,
            0);
    JobProgress job =
        new JobProgress(
            new Submission("job", 0, POLICY, new WorkloadSpec("p", List.of(spec), 0, 0, 0)));
    return job.steps(0).get(0).slots().get(index);
  }

  private static TaskSlot plain(int cpuMillis, int index) {
    return slot(cpuMillis, null, null, 0, false, 0, index);
  }

  @Test
  void labelLimitAndReserveDecideWhetherTaskFits() {
    WorkerRoom room = room("w", "r1-1");
    assertThat(room.fits(slot(1_000, "b", null, 0, false, 0, 0), 0)).isFalse();
    assertThat(room.fits(slot(1_000, "a", null, 0, false, 0, 0), 0)).isTrue();
    assertThat(room.fits(plain(3_500, 0), 1_000)).isFalse();

    TaskSlot first = slot(100, null, null, 1, false, 0, 0);
    room.reserve(first.id(), 1, first.spec());
    assertThat(room.fits(slot(100, null, null, 1, false, 0, 1), 0)).isFalse();
    room.release(first.id(), 1);
    assertThat(room.fits(slot(100, null, null, 1, false, 0, 1), 0)).isTrue();
  }

  @Test
  void fillerTakesMemoryOnly() {
    WorkerRoom room = room("w", "r1-1");
    TaskSlot filler = slot(4_000, null, null, 0, true, 0, 0);
    room.reserve(filler.id(), 1, filler.spec());

    assertThat(room.freeCpuMillis()).isEqualTo(4_000);
    assertThat(room.freeMemoryMb()).isEqualTo(7_000);
  }

  @Test
  void taskGoesToItsDataAndAwayFromWhereItFailed() {
    TaskSlot slot = slot(1_000, null, "r1-2", 0, false, 0, 0);
    WorkerRoom far = room("far", "r1-1");
    WorkerRoom near = room("near", "r1-2");
    assertThat(near.cost(slot, null)).isLessThan(far.cost(slot, null));

    slot.countFailure("near");
    assertThat(far.cost(slot, null)).isLessThan(near.cost(slot, null));
  }

  @Test
  void fillersAndServingTasksAreKeptApart() {
    WorkerRoom serving = room("serving", "r1-1");
    TaskSlot service = slot(1_000, null, null, 0, false, 50, 0);
    serving.reserve(service.id(), 1, service.spec());
    TaskSlot filler = slot(1_000, null, null, 0, true, 0, 1);

    assertThat(room("idle", "r1-1").cost(filler, null)).isLessThan(serving.cost(filler, null));
  }

  @Test
  void workerThatFailsAllIsSickUntilOneRunSucceeds() {
    WorkerRoom room = room("w", "r1-1");
    for (int i = 0; i < 4; i++) {
      room.learnFailure();
    }
    assertThat(room.isSick()).isTrue();

    room.learnSuccess(300, 300);
    assertThat(room.isSick()).isFalse();
  }

  @Property(tries = 300)
  void roomIsWholeAgainOnceAllIsReleased(
      @ForAll @Size(max = 30) List<@IntRange(max = 4) Integer> indexes) {
    WorkerRoom room = room("w", "r1-1");
    List<TaskSlot> reserved = new ArrayList<>();
    for (int index : indexes) {
      TaskSlot slot = plain(100 + index, index);
      room.reserve(slot.id(), 1, slot.spec());
      room.reserve(slot.id(), 1, slot.spec());
      reserved.add(slot);
    }
    reserved.forEach(slot -> room.release(slot.id(), 1));
    reserved.forEach(slot -> room.release(slot.id(), 1));

    assertThat(room.freeCpuMillis()).isEqualTo(4_000);
    assertThat(room.freeMemoryMb()).isEqualTo(8_000);
    assertThat(room.runs()).isEqualTo(0);
  }
}
