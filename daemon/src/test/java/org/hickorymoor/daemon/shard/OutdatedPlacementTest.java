package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.domain.workload.ApprovalPolicy;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.Test;

/** Load: tasks whose placements wait for a slow store while what they rest on changes. */
final class OutdatedPlacementTest {

  private static final int VALIDITY_MS = 2_500;
  private static final int DECISION_MS = 200;
  private static final int OUTAGE_MS = 4_200;
  private static final int TASKS = 12;

  private final SimulatedCell cell = new SimulatedCell(5, 3, 4);

  private CompletableFuture<List<Approval>> approve(List<String> workers) {
    CompletableFuture<List<Approval>> reply = new CompletableFuture<>();
    cell.time.after(
        DECISION_MS,
        () -> {
          String validUntilMs = Long.toString(cell.time.nowMs() + VALIDITY_MS);
          reply.complete(workers.stream().map(id -> new Approval(id, validUntilMs)).toList());
        });
    return reply;
  }

  // Guards against starts with expired tickets after an outage of the store: workers reject them,
  // and each rejection costs a call and delays the task.
  @Test
  void tasksPlacedDuringOutageStartWithNewApprovals() {
    cell.approvals = (step, workers, timeoutMs) -> approve(workers);
    cell.workers.acceptsTicket =
        request -> request.ticket() != null && Long.parseLong(request.ticket()) > cell.time.nowMs();
    String coordinator = cell.awaitCoordinator();
    QueuePolicy policy =
        new QueuePolicy("queue", "pool", 0, 3, 1.5, 600, new ApprovalPolicy(1, 0, VALIDITY_MS));
    WorkloadSpec spec =
        new WorkloadSpec("payload", List.of(step(TASKS, List.of(), false)), 0, 0, 0);
    CompletableFuture<Shard.StoreResult> stored =
        cell.shard(coordinator).submit(new Submission("job", cell.time.nowMs(), policy, spec), 900);
    cell.time.advanceUntil(DECISION_MS / 2, stored::isDone);

    cell.store.setUnresponsive(true);
    cell.time.advance(OUTAGE_MS);
    cell.store.setUnresponsive(false);

    assertThat(cell.time.advanceUntil(2_000, () -> cell.workers.starts() == TASKS)).isTrue();
    assertThat(cell.workers.rejectedTickets()).isEqualTo(0);
  }

  // Guards against a gang of which some members start and wait for the others in vain.
  @Test
  void noMemberOfGangStartsOnceWorkerOfOneHasShrunk() {
    final StepSpec wideMember =
        new StepSpec(
            4, 10_000, 500, 0, 500, List.of(), false, true, false, null, null, 0, false, false, "",
            0, false, 0);
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.store.serialAppendMs(580);
    cell.submit("h1", "gang", wideMember);
    cell.time.advance(50);
    cell.workers.resize("w0", 500);
    cell.time.advance(6_000);

    assertThat(cell.workers.starts()).isEqualTo(0);
    cell.workers.resize("w0", 16_000);
    assertThat(cell.time.advanceUntil(20_000, () -> cell.workers.running().size() == 4)).isTrue();
  }
}
