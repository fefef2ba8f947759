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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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

  /**
   * Guards against a task that waits for a small one of its customer that never ends, though the
   * customer uses less than half of its limit.
   */
  @ParameterizedTest
  @CsvSource({
    "500, 0, 0, 9600, 0, 0", // the sizes of review/15
    "4900, 0, 0, 5200, 0, 0",
    "1, 0, 0, 12000, 0, 0",
    "0, 900, 0, 0, 20000, 0",
    "0, 0, 1, 0, 0, 4",
    "8000, 900, 1, 2000, 20000, 4",
    "500, 900, 1, 9600, 19500, 4"
  })
  void taskStartsBesideSmallOnes(
      long cpuMillis, long memoryMb, long accelerators, long cpu, long memory, long units) {
    CustomerPolicy policy = new CustomerPolicy("acme", 2, new Resources(0, 0, 10_000, 20_000, 4));
    CustomerUsage usage = new CustomerUsage();
    usage.recordPlaced(
        "acme",
        new TaskId("small", 0, 0, 0),
        1,
        new ResourceTotals(cpuMillis, memoryMb, accelerators));
    ResourceTotals demand = new ResourceTotals(cpu, memory, units);

    assertThat(usage.permittedStarts(policy, demand, 3)).isEqualTo(1);
    assertThat(usage.permitsTogether(policy, demand, 1)).isTrue();
    usage.recordPlaced("acme", new TaskId("large", 0, 0, 0), 1, demand);
    assertThat(usage.permittedStarts(policy, demand, 3)).isEqualTo(0);
    assertThat(usage.permittedStarts(policy, new ResourceTotals(1, 1, 1), 3)).isEqualTo(0);
  }

  /** Guards against a limit that holds nobody back once tasks may exceed it. */
  @ParameterizedTest
  @CsvSource({"5000, 0, 5001, 0", "9999, 0, 2, 0", "0, 10000, 0, 10001", "500, 10000, 9600, 10001"})
  void taskWaitsWhereHalfOfTheLimitIsUsed(long cpuMillis, long memoryMb, long cpu, long memory) {
    CustomerPolicy policy = new CustomerPolicy("acme", 2, new Resources(0, 0, 10_000, 20_000, 0));
    CustomerUsage usage = new CustomerUsage();
    usage.recordPlaced(
        "acme", new TaskId("first", 0, 0, 0), 1, new ResourceTotals(cpuMillis, memoryMb, 0));

    assertThat(usage.permittedStarts(policy, new ResourceTotals(cpu, memory, 0), 1)).isEqualTo(0);
  }

  /** Guards against a gang within the limit that waits for a small task that never ends. */
  @Test
  void gangStartsBesideSmallTaskIfOnlyItsLastMemberExceedsTheLimit() {
    CustomerUsage usage = new CustomerUsage();
    usage.recordPlaced("acme", new TaskId("small", 0, 0, 0), 1, new ResourceTotals(100, 0, 0));

    assertThat(usage.permitsTogether(POLICY, new ResourceTotals(1_000, 0, 0), 4)).isTrue();
    assertThat(usage.permitsTogether(POLICY, new ResourceTotals(1_000, 0, 0), 5)).isFalse();
    assertThat(usage.permitsTogether(POLICY, new ResourceTotals(2_000, 0, 0), 2)).isTrue();
    assertThat(usage.permitsTogether(POLICY, new ResourceTotals(2_000, 0, 0), 3)).isFalse();
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
