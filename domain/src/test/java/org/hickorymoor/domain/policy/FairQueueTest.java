package org.hickorymoor.domain.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.junit.jupiter.api.Test;

final class FairQueueTest {

  private final FairQueue queue = newQueue(PolicySettings.DEFAULT);

  @Test
  void teamWithTheSmallerShareStartsFirst() {
    final QueuedJob rival = add("rival", TestFixtures.SMALL);
    QueuedJob mill = add("mill", TestFixtures.SMALL);
    queue.addUsage("rival", TestFixtures.SMALL);

    assertThat(queue.next(JobClass.BATCH)).isEqualTo(mill);
    queue.addUsage("mill", TestFixtures.WHOLE_WORKER);
    assertThat(queue.next(JobClass.BATCH)).isEqualTo(rival);
  }

  @Test
  void shareIsDividedByTheQuotaWeight() {
    Map<String, TeamQuota> quotas = Map.of("mill", new TeamQuota(4, null));
    FairQueue weighted = newQueue(PolicySettings.DEFAULT.withQuotas(quotas));
    addTo(weighted, "rival", TestFixtures.SMALL);
    QueuedJob mill = addTo(weighted, "mill", TestFixtures.SMALL);
    weighted.addUsage("rival", TestFixtures.SMALL);
    weighted.addUsage("mill", TestFixtures.SMALL.plus(TestFixtures.SMALL));

    assertThat(weighted.next(JobClass.BATCH)).isEqualTo(mill);
  }

  @Test
  void blockedDemandGroupIsSkipped() {
    QueuedJob large = add("mill", TestFixtures.WHOLE_WORKER);
    add("rival", TestFixtures.WHOLE_WORKER);
    QueuedJob small = add("mill", TestFixtures.SMALL);
    queue.block(large);
    assertThat(queue.next(JobClass.BATCH)).isEqualTo(small);

    queue.remove(small);
    assertThat(queue.next(JobClass.BATCH)).isNull();
    queue.unblock(job -> true);
    assertThat(queue.next(JobClass.BATCH)).isEqualTo(large);
  }

  @Test
  void removalOfTheBlockingJobReactivatesItsGroup() {
    QueuedJob first = add("mill", TestFixtures.SMALL);
    QueuedJob second = add("mill", TestFixtures.SMALL);
    queue.block(first);
    queue.remove(first);

    assertThat(queue.next(JobClass.BATCH)).isEqualTo(second);
    assertThat(queue.waitingTasks("mill")).isEqualTo(1);
  }

  private QueuedJob add(String team, Resources demand) {
    return addTo(queue, team, demand);
  }

  private static FairQueue newQueue(PolicySettings settings) {
    FairQueue queue = new FairQueue(settings);
    queue.setTotalCapacity(ResourceMath.multiply(TestFixtures.WORKER, 4));
    return queue;
  }

  private static QueuedJob addTo(FairQueue queue, String team, Resources demand) {
    JobSpec spec = TestFixtures.job(team, JobKind.BATCH, JobClass.BATCH, 1, demand);
    QueuedJob job = new QueuedJob(team, spec);
    job.addWaiting(TestFixtures.firstAttempts(team, spec));
    queue.add(job);
    return job;
  }
}
