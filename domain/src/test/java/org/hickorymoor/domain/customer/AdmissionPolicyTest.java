package org.hickorymoor.domain.customer;

import static com.google.common.truth.Truth.assertThat;

import org.hickorymoor.domain.customer.AdmissionPolicy.Decision;
import org.hickorymoor.domain.customer.AdmissionPolicy.Job;
import org.hickorymoor.domain.customer.AdmissionPolicy.Load;
import org.junit.jupiter.api.Test;

final class AdmissionPolicyTest {

  private static final Job JOB = new Job(0, 1_000, 500, 4_000, 1_000);

  /** Needs 10 s at half of 100 cores, and all customers together need 12 s. */
  private static final Load FULL = new Load(500_000, 1_200_000, 0.5, 100, false, 100, 100_000);

  private static boolean admits(Job job, Load load) {
    return AdmissionPolicy.decide(job, load, 0.5).admitted();
  }

  private static Load withBacklog(long customerCoreMs, long totalCoreMs) {
    return new Load(customerCoreMs, totalCoreMs, 0.5, 100, false, 100, 100_000);
  }

  // Guards against refusing jobs that are late but useful, and accepting those that are not.
  @Test
  void jobIsRefusedOnlyIfItsBacklogKeepsItFromBeingUseful() {
    assertThat(admits(JOB, FULL)).isFalse();
    assertThat(admits(JOB, withBacklog(170_000, 1_200_000))).isTrue();
    assertThat(admits(JOB, withBacklog(180_000, 1_200_000))).isFalse();
    assertThat(admits(new Job(0, 1_000, 500, 20_000, 1_000), FULL)).isTrue();
  }

  // Guards against refusing a customer that may use what others leave of their shares.
  @Test
  void jobIsAcceptedIfTheWholeBacklogDrainsInTime() {
    assertThat(admits(JOB, withBacklog(300_000, 310_000))).isTrue();
  }

  // Guards against a job beyond the rate that is accepted for its own short backlog alone.
  @Test
  void jobBeyondTheRateWaitsForTheBacklogOfAllCustomers() {
    Load othersWait = withBacklog(1_000, 1_200_000);
    assertThat(admits(JOB, othersWait)).isTrue();
    assertThat(admits(new Job(AdmissionPolicy.BEYOND_RATE, 1_000, 500, 4_000, 0), othersWait))
        .isFalse();
  }

  // Guards against refusals while workers idle, or while it is unknown how many there are.
  @Test
  void nobodyIsRefusedWhileRoomIsFreeOrCapacityIsUnknown() {
    assertThat(admits(JOB, new Load(500_000, 1_200_000, 0.5, 100, true, 100, 0))).isTrue();
    assertThat(admits(JOB, new Load(500_000, 1_200_000, 0.5, 0, false, 100, 0))).isTrue();
  }

  // Guards against callers that are told to come back with a job that no delay can help.
  @Test
  void jobThatIdleWorkersCannotCompleteInTimeIsNotRefused() {
    assertThat(admits(new Job(0, 1_000, 4_001, 4_000, 0), FULL)).isTrue();
    assertThat(admits(new Job(0, 500_000, 500, 4_000, 0), FULL)).isTrue();
  }

  // Guards against memory of the coordinator that one customer fills.
  @Test
  void boundsHoldAlsoWhileRoomIsFree() {
    assertThat(admits(JOB, new Load(0, 0, 0.5, 100, true, 1_999, 0))).isTrue();
    assertThat(admits(JOB, new Load(0, 0, 0.5, 100, true, 2_000, 0))).isFalse();
    assertThat(admits(JOB, new Load(0, 0, 0.5, 100, true, 1, 16L << 20))).isFalse();
  }

  // Guards against hosts that begin to ask only when jobs must be refused already.
  @Test
  void pressureBeginsBeforeTheFirstRefusal() {
    Load half = withBacklog(90_000, 1_200_000);
    assertThat(admits(JOB, half)).isTrue();
    assertThat(AdmissionPolicy.isUnderPressure(JOB, half)).isTrue();
    assertThat(AdmissionPolicy.isUnderPressure(JOB, withBacklog(10_000, 20_000))).isFalse();
  }

  // Guards against delays that are out of range, or equal for all callers.
  @Test
  void delayIsTheTimeUntilEnoughHasDrainedWithJitter() {
    assertThat(AdmissionPolicy.decide(JOB, FULL, 0.5).retryAfterMs()).isEqualTo(6_500);
    assertThat(AdmissionPolicy.decide(JOB, FULL, 0).retryAfterMs()).isEqualTo(4_875);
    assertThat(AdmissionPolicy.decide(JOB, FULL, 1).retryAfterMs()).isEqualTo(8_125);
    Decision longest = AdmissionPolicy.decide(JOB, withBacklog(90_000_000, 900_000_000), 1);
    assertThat(AdmissionPolicy.toRetryAfterSeconds(longest.retryAfterMs())).isEqualTo(30);
    Decision shortest = AdmissionPolicy.decide(JOB, withBacklog(175_100, 1_200_000), 0);
    assertThat(AdmissionPolicy.toRetryAfterSeconds(shortest.retryAfterMs())).isEqualTo(1);
  }
}
