package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.domain.workload.ApprovalPolicy;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.Test;

/** Load: approved tasks whose placements can't be stored before their approvals expire. */
final class ExpiredApprovalTest {

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
}
