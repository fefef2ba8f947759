package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerErrorType;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.domain.workload.Submission;
import org.junit.jupiter.api.Test;

final class AdmissionGateTest {

  private static final PeerReply PRESSURE = new PeerReply.AnnouncementReply(true);
  private static final PeerReply REFUSAL = new PeerReply.AdmissionReply(false, 3_000, "backlog");

  private final VirtualTime time = new VirtualTime(1);
  private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
  private final MetricRegistry metrics = new MetricRegistry();
  private final Submission job =
      SimulatedPool.job("customer", "job", 0, SimulatedCell.step(1, List.of(), false));
  private CompletableFuture<PeerReply> reply = CompletableFuture.completedFuture(REFUSAL);
  private final AdmissionGate gate =
      new AdmissionGate(loop, (question, timeoutMs) -> reply, new ShardMetrics(metrics));

  private Admission admit() {
    return gate.admit(job, 2_800).join();
  }

  // Guards against questions, and so delays, for deployments and customers without need.
  @Test
  void coordinatorIsAskedOnlyForOneSecondAfterPressure() {
    assertThat(admit().admitted()).isTrue();

    gate.onAnnouncementReply(job.customer(), PRESSURE);
    time.advance(999);
    assertThat(admit()).isEqualTo(new Admission(false, 3_000, "backlog"));
    time.advance(999);
    assertThat(admit().admitted()).isFalse();
    time.advance(1_000);
    assertThat(admit().admitted()).isTrue();
    assertThat(metrics.counter("admission.asked").getCount()).isEqualTo(2);
    assertThat(metrics.counter("admission.refused").getCount()).isEqualTo(2);
  }

  // Guards against asking about, or refusing, jobs of nobody.
  @Test
  void jobsWithoutCustomerAreNeverAskedAbout() {
    gate.onAnnouncementReply(null, PRESSURE);
    Submission anonymous = new Submission("job", 0, job.policy(), job.spec());

    assertThat(gate.admit(anonymous, 2_800).join().admitted()).isTrue();
    assertThat(metrics.counter("admission.asked").getCount()).isEqualTo(0);
  }

  // Guards against refusals by a coordinator of the previous version, which knows no customers.
  @Test
  void repliesOfThePreviousVersionMeanAdmitted() {
    gate.onAnnouncementReply(job.customer(), new PeerReply.Done());
    assertThat(admit().admitted()).isTrue();
    assertThat(metrics.counter("admission.asked").getCount()).isEqualTo(0);

    gate.onAnnouncementReply(job.customer(), PRESSURE);
    reply =
        CompletableFuture.completedFuture(
            new PeerReply.Refused(PeerErrorType.BAD_REQUEST, "unknown tag"));
    assertThat(admit().admitted()).isTrue();
    reply = CompletableFuture.failedFuture(new IllegalStateException("no route"));
    assertThat(admit().admitted()).isTrue();
    assertThat(metrics.counter("admission.unanswered").getCount()).isEqualTo(2);
  }

  // Guards against jobs that wait for a coordinator that is gone, and late refusals of such jobs.
  @Test
  void jobIsAcceptedIfTheCoordinatorDoesNotAnswerInTime() {
    gate.onAnnouncementReply(job.customer(), PRESSURE);
    reply = new CompletableFuture<>();
    CompletableFuture<Admission> admission = gate.admit(job, 2_800);

    time.advance(AdmissionGate.TIMEOUT_MS - 1);
    assertThat(admission.isDone()).isFalse();
    time.advance(1);
    assertThat(admission.join().admitted()).isTrue();
    reply.complete(REFUSAL);
    assertThat(metrics.counter("admission.refused").getCount()).isEqualTo(0);
    assertThat(metrics.counter("admission.unanswered").getCount()).isEqualTo(1);
  }
}
