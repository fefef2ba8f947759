package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.Test;

final class CustomerAccountingTest {

  private static final CustomerPolicy ACME = new CustomerPolicy("acme", 2, Resources.NONE);

  private final VirtualTime time = new VirtualTime(5);
  private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
  private final CustomerAccounting accounting =
      new CustomerAccounting(
          loop,
          () -> new CustomerDirectory(1, Map.of("acme", ACME)),
          Stream::empty,
          new ShardMetrics(new MetricRegistry()));

  /** Opens a job and returns it. */
  private Submission open(String jobId, long acceptedAtMs) {
    WorkloadSpec spec =
        new WorkloadSpec("", List.of(SimulatedCell.step(1, List.of(), false)), 0, 0, 0);
    Submission job = new Submission(jobId, acceptedAtMs, SimulatedCell.POLICY, spec, ACME);
    accounting.onJobOpened(new ScheduledJob(new JobProgress(job), true));
    return job;
  }

  /**
   * Load: a burst of four jobs at weight 2, which a successor reads in another order than they were
   * accepted in. Guards against ranks that change with a takeover.
   */
  @Test
  void successorRanksOpenJobsByTheirTimesOfAcceptance() {
    time.advance(10_000);
    long nowMs = loop.nowMs();
    final Submission last = open("last", nowMs - 10);
    final Submission third = open("third", nowMs - 20);
    final Submission first = open("first", nowMs - 40);
    final Submission second = open("second", nowMs - 30);
    accounting.beginPass();

    assertThat(Stream.of(first, second, third, last).map(accounting::shareRank))
        .containsExactly(0, 0, 2, 2)
        .inOrder();
  }

  /** Guards against a host with a fast clock whose jobs take the tokens of later seconds. */
  @Test
  void jobFromHostWithFastClockLeavesTokensOfLaterSeconds() {
    time.advance(10_000);
    open("ahead", loop.nowMs() + 60_000);
    open("ahead2", loop.nowMs() + 60_000);
    accounting.beginPass();
    time.advance(1_000);
    Submission later = open("later", loop.nowMs());
    accounting.beginPass();

    assertThat(accounting.shareRank(later)).isEqualTo(CustomerAccounting.WITHIN_SHARE);
  }
}
