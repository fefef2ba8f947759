package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;

/** Workers whose entries lapse and are listed again. */
final class RelistedWorkerTest {

  private static final long SEED = 11;

  private final SimulatedCell cell = new SimulatedCell(SEED, 3, 1);

  // Guards against a worker that gets no runs for the rest of a term once its entry has lapsed.
  @Test
  void workerThatIsListedAgainAfterItsRunsWereLostGetsNewRuns() {
    cell.time.advanceUntil(20_000, () -> cell.coordinator() != null);
    cell.workers.durations(() -> 5_000L);
    cell.submit("h1", "job", step(1, List.of(), false));
    cell.time.advanceUntil(5_000, () -> cell.workers.running().contains("job.0.0.0"));

    cell.workers.get("w0").setDisconnected(true);
    cell.workers.list("w0", false);
    cell.time.advance(20_000);
    cell.workers.get("w0").setDisconnected(false);
    cell.workers.list("w0", true);

    assertThat(cell.awaitState("h2", "job", WorkloadState.COMPLETED, 20_000)).isTrue();
    assertThat(cell.workers.violations()).isEmpty();
  }
}
