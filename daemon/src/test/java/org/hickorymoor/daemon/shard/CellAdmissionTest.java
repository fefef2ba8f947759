package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerReply.AdmissionReply;
import org.hickorymoor.daemon.peer.PeerRequest.AdmitSubmission;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.customer.AdmissionPolicy;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.Test;

/** Admission control as the hosts of a cell and its coordinator use it. */
final class CellAdmissionTest {

  private static final int JOBS = AdmissionPolicy.MAX_QUEUED_JOBS + 10;

  /** A limit of one core keeps all jobs but one queued while room is free. */
  private static final CustomerPolicy ACME =
      new CustomerPolicy("acme", 1, new Resources(0, 0, 1_000, 0, 0));

  private final SimulatedCell cell = new SimulatedCell(23, 3, 4);

  private boolean coordinatorAdmits(String jobId) {
    String coordinator = Objects.requireNonNull(cell.coordinator());
    CompletableFuture<PeerReply> reply =
        cell.shard(coordinator)
            .handle(new AdmitSubmission(jobId, "acme", "queue", "pool", 0, 500, 500, 4_050, 100));
    cell.time.advance(10);
    return ((AdmissionReply) reply.join()).admitted();
  }

  private Admission hostAdmits(String host, String jobId) {
    WorkloadSpec spec = new WorkloadSpec("", List.of(step(1, List.of(), false)), 0, 0, 0);
    Submission job = new Submission(jobId, cell.time.nowMs(), SimulatedCell.POLICY, spec, ACME);
    CompletableFuture<Admission> admission = cell.shard(host).admit(job, 2_800);
    cell.time.advanceUntil(1_000, admission::isDone);
    return admission.join();
  }

  // Guards against a coordinator that doesn't count the jobs that it adds, reads at a takeover or
  // removes, and against hosts that don't learn of pressure.
  @Test
  void queuedJobsOfCustomerCountFromTheirAcceptanceToTheirEndAlsoAfterTakeover() {
    cell.customers = new CustomerDirectory(1, Map.of("acme", ACME));
    cell.workers.durations(() -> 600_000L);
    final String first = cell.awaitCoordinator();
    cell.time.advance(AdmissionControl.GRACE_MS);
    assertThat(coordinatorAdmits("new")).isTrue();
    for (int i = 0; i < JOBS; i++) {
      cell.submit("h" + i % 3, "acme" + i, ACME, step(1, List.of(), false));
    }
    cell.time.advance(1_000);

    assertThat(coordinatorAdmits("new")).isFalse();
    assertThat(coordinatorAdmits("acme7")).isTrue();
    for (String host : cell.hostNames()) {
      cell.submit(host, "acme-" + host, ACME, step(1, List.of(), false));
      cell.time.advance(100);
      assertThat(hostAdmits(host, "new").admitted()).isFalse();
    }

    cell.kill(first);
    cell.awaitCoordinator();
    assertThat(coordinatorAdmits("new")).isTrue();
    cell.time.advance(AdmissionControl.GRACE_MS);
    assertThat(coordinatorAdmits("new")).isFalse();
    assertThat(coordinatorAdmits("acme7")).isTrue();

    String second = Objects.requireNonNull(cell.coordinator());
    for (int i = 0; i < JOBS; i++) {
      cell.shard(second).cancel("acme" + i, 2_800);
    }
    cell.time.advance(5_000);
    assertThat(coordinatorAdmits("new")).isTrue();
  }
}
