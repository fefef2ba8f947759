package org.hickorymoor.domain.customer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskId;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.Test;

/** Tests of the limit of single requests and of the rate of submissions. */
final class CustomerRulesTest {

  private static final CustomerPolicy POLICY =
      new CustomerPolicy("acme", 2, new Resources(0, 0, 4_000, 0, 0));

  private static Submission gang(int count) {
    StepSpec step =
        new StepSpec(
            count, 1_500, 1, 0, 10, List.of(), false, true, false, null, null, 0, false, false, "",
            0, false, 0);
    return new Submission(
        "job",
        0,
        new QueuePolicy("q", "pool", 0, 1, 1.5, 600, null),
        new WorkloadSpec("", List.of(step), 0, 0, 0),
        POLICY);
  }

  /** Guards against gangs that wait for ever. */
  @Test
  void gangAboveLimitIsRefusedWithReason() {
    assertThat(GangLimit.refusalReason(gang(2))).isNull();
    assertThat(GangLimit.refusalReason(gang(3))).contains("step 0: its 3 tasks");
  }

  /** Guards against large tasks that never run, and against further starts beside them. */
  @Test
  void taskAboveLimitRunsAlone() {
    CustomerUsage usage = new CustomerUsage();
    ResourceTotals large = new ResourceTotals(9_000, 0, 0);
    TaskId task = new TaskId("job", 0, 0, 0);

    assertThat(usage.permittedStarts(POLICY, large, 3)).isEqualTo(1);
    usage.recordPlaced("acme", task, 1, large);
    assertThat(usage.permittedStarts(POLICY, ResourceTotals.NONE, 3)).isEqualTo(0);
    usage.recordReleased(task, 1);
    assertThat(usage.permittedStarts(POLICY, new ResourceTotals(1_000, 0, 0), 9)).isEqualTo(4);
  }

  /** Load: 20 jobs a second at weight 2. Guards against later jobs that pay for a burst. */
  @Test
  void jobsWithinRateAreThoseOfTheWeightEachSecond() {
    SubmissionRate rate = new SubmissionRate();
    int withinRate = 0;
    for (int job = 0; job < 200; job++) {
      withinRate += rate.tryAcquire(2, 1_000 + job * 50L) ? 1 : 0;
    }

    assertThat(withinRate).isAtLeast(20);
    assertThat(withinRate).isAtMost(22);
    assertThat(rate.tryAcquire(2, 12_000)).isTrue();
    assertThat(rate.tryAcquire(2, 12_000)).isTrue();
    assertThat(rate.tryAcquire(2, 11_000)).isFalse();
  }
}
