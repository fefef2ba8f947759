package org.hickorymoor.standins.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.TaskOutcome;
import org.junit.jupiter.api.Test;

final class RunOverlapTest {

  private static final Resources DEMAND = new Resources(1, 0, 0, 0, 0);

  @Test
  void attemptStartedElsewhereBeforeTheEndOverlaps() {
    WorkerRecord first = ran("job/0/1", 100, 200, DEMAND);
    WorkerRecord second = ran("job/0/2", 199, 300, DEMAND);

    assertThat(RunOverlap.among(List.of(second, first)))
        .containsExactly(new RunOverlap("job/0/2", "job/0/1", 199));
  }

  @Test
  void attemptStartedElsewhereAtTheEndDoesNotOverlap() {
    WorkerRecord first = ran("job/0/1", 100, 200, DEMAND);
    WorkerRecord second = ran("job/0/2", 200, 300, DEMAND);

    assertThat(RunOverlap.among(List.of(first, second))).isEmpty();
  }

  @Test
  void otherTasksAndTasksWithoutDemandDoNotOverlap() {
    WorkerRecord first = ran("job/0/1", 100, 200, DEMAND);
    WorkerRecord second = ran("job/1/1", 100, 200, DEMAND);
    WorkerRecord lease = ran("job/0/1", 100, 200, Resources.NONE);

    assertThat(RunOverlap.among(List.of(first, second, lease))).isEmpty();
  }

  private static WorkerRecord ran(String taskId, long fromMs, long toMs, Resources demand) {
    return new WorkerRecord(
        List.of(),
        List.of(),
        List.of(new WorkerRecord.Start(1, taskId, fromMs, fromMs, demand)),
        List.of(new WorkerRecord.End(1, taskId, TaskOutcome.SUCCEEDED, toMs, toMs)),
        0,
        0,
        Map.of());
  }
}
