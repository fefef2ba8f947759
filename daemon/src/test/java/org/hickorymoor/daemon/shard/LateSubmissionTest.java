package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.nio.ByteBuffer;
import java.util.List;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;

/** Jobs whose submissions are stored only after a successor of their coordinator took over. */
final class LateSubmissionTest {

  private static final long SEED = 11;
  private static final int WORKERS = 1;
  private static final byte[] SUBMISSION =
      WorkloadCodec.encode(
          new Submission(
              "job",
              0,
              SimulatedCell.POLICY,
              new WorkloadSpec(
                  "payload",
                  List.of(step(3, List.of(), false), step(1, List.of(0), false)),
                  0,
                  0,
                  0)));

  private final SimulatedCell cell = new SimulatedCell(SEED, 3, WORKERS);

  /** Lets a coordinator place the announced job, and its successor find that all is idle. */
  private String awaitSuccessorOfCoordinatorThatPlacedJob() {
    final String initialCoordinator = cell.awaitCoordinator();
    cell.time.advance(2_000);
    var unused =
        cell.shard(initialCoordinator)
            .handle(
                new PeerRequest.AnnounceSubmission(
                    SubmissionKeys.submitted("job"), ByteBuffer.wrap(SUBMISSION), false));
    cell.time.advance(500);
    assertThat(cell.store.keys(KeyedStream.LEDGER)).contains("job");
    cell.kill(initialCoordinator);
    final String successor = cell.awaitCoordinator();
    cell.time.advance(10_000);
    return successor;
  }

  private void storeSubmission() {
    cell.store.put(
        KeyedStream.submissionPartitions().get(0), SubmissionKeys.submitted("job"), SUBMISSION);
  }

  // Guards against an accepted job that stays queued because nothing asks for its adopted runs.
  @Test
  void runsAdoptedOnIdleWorkersAreFoundLostAndStartAgain() {
    final String successor = awaitSuccessorOfCoordinatorThatPlacedJob();

    storeSubmission();

    assertThat(cell.awaitState(successor, "job", WorkloadState.COMPLETED, 10_000)).isTrue();
    assertThat(cell.workers.starts()).isEqualTo(4);
    assertThat(cell.workers.violations()).isEmpty();
  }

  // Guards against an accepted job that waits for a worker that nobody calls any more.
  @Test
  void runsAdoptedOnWorkerThatWasGivenUpStartElsewhere() {
    final String successor = awaitSuccessorOfCoordinatorThatPlacedJob();
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.submit(successor, "busy", step(1, List.of(), false));
    cell.time.advanceUntil(2_000, () -> cell.workers.running().contains("busy.0.0.0"));
    cell.workers.durations(() -> 500L);
    cell.workers.get("w0").crash();
    cell.workers.list("w0", false);
    cell.time.advance(20_000);

    storeSubmission();
    cell.time.advance(2_000);
    cell.workers.add("w1");

    assertThat(cell.awaitState(successor, "job", WorkloadState.COMPLETED, 20_000)).isTrue();
    assertThat(cell.workers.violations()).isEmpty();
  }
}
