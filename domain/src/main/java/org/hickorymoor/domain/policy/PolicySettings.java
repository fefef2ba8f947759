package org.hickorymoor.domain.policy;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;

/**
 * Scheduling policy of a deployment.
 *
 * <pre>{@code
 * PolicySettings settings = PolicySettings.DEFAULT.withWeights(0.7, 0.2, 0.1);
 * }</pre>
 *
 * @param waitingWeight weight of short waiting times, relative to the other two weights
 * @param packingWeight weight of high worker utilization
 * @param controlWeight weight of few decisions and few workers involved in each
 * @param quotas quotas by team, for teams that have their own
 * @param defaultQuota quota of all other teams
 * @param maxQueuedTasks maximum number of waiting tasks in total
 * @param maxQueuedTasksPerTeam maximum number of waiting tasks per team
 * @param maxAttempts maximum number of attempts per task
 * @param retryBaseDelayMs back-off before the second attempt; it doubles with each further attempt
 * @param retryMaxDelayMs maximum back-off between attempts
 * @param initialCapacityShare initial learned capacity of a worker, as a share of its declared
 *     capacity
 * @param capacityMargin share of the declared capacity that normal reported usage leaves free
 * @param reservationAfterMs waiting time after which workers are reserved and drained for a job
 * @param reservationMs time after which an unused reservation expires
 * @param urgentHeadroomShare share of all slots that batch jobs must leave free
 * @param preemptAfterMs waiting time after which an urgent job may throttle or preempt batch tasks
 * @param throttlePercent speed of throttled tasks, in percent of full speed
 * @param checkpointAfterMs minimum run time at which a task is checkpointed before it is preempted
 * @param suspectAfterFailures number of attributed failures since the last success at which a
 *     worker is quarantined
 * @param probeDelayMs initial delay before a quarantined worker is probed with one task
 * @param giveUpAfterWorkers number of proven healthy workers on which a job may fail before it is
 *     given up
 * @param giveUpNeverFits whether to give up jobs that exceed every worker capacity seen so far
 * @param acceleratorSkips maximum number of times that a job without accelerator demand is skipped
 *     in favor of jobs that need the accelerators of its worker; 0 to disable
 * @param maxStartsPerDecision number of starts after which a call of {@link CellScheduler#decide}
 *     starts no further tasks
 */
public record PolicySettings(
    double waitingWeight,
    double packingWeight,
    double controlWeight,
    Map<String, TeamQuota> quotas,
    TeamQuota defaultQuota,
    int maxQueuedTasks,
    int maxQueuedTasksPerTeam,
    int maxAttempts,
    long retryBaseDelayMs,
    long retryMaxDelayMs,
    double initialCapacityShare,
    double capacityMargin,
    long reservationAfterMs,
    long reservationMs,
    double urgentHeadroomShare,
    long preemptAfterMs,
    int throttlePercent,
    long checkpointAfterMs,
    int suspectAfterFailures,
    long probeDelayMs,
    int giveUpAfterWorkers,
    boolean giveUpNeverFits,
    int acceleratorSkips,
    int maxStartsPerDecision) {

  /** Even weights and no quotas. */
  public static final PolicySettings DEFAULT =
      new PolicySettings(
          1.0 / 3,
          1.0 / 3,
          1.0 / 3,
          Map.of(),
          TeamQuota.DEFAULT,
          100_000,
          20_000,
          8,
          200,
          30_000,
          0.5,
          0.05,
          30_000,
          120_000,
          0.05,
          100,
          50,
          10_000,
          3,
          5_000,
          3,
          false,
          0,
          512);

  /** Validates the ranges and copies the map. */
  public PolicySettings {
    checkWeight("waitingWeight", waitingWeight);
    checkWeight("packingWeight", packingWeight);
    checkWeight("controlWeight", controlWeight);
    quotas = Map.copyOf(quotas);
    checkPositive("maxQueuedTasks", maxQueuedTasks);
    checkPositive("maxQueuedTasksPerTeam", maxQueuedTasksPerTeam);
    checkPositive("maxAttempts", maxAttempts);
    checkPositive("retryBaseDelayMs", retryBaseDelayMs);
    checkPositive("retryMaxDelayMs", retryMaxDelayMs);
    checkShare("initialCapacityShare", initialCapacityShare);
    checkShare("capacityMargin", capacityMargin);
    checkPositive("reservationAfterMs", reservationAfterMs);
    checkPositive("reservationMs", reservationMs);
    checkShare("urgentHeadroomShare", urgentHeadroomShare);
    checkNotNegative("preemptAfterMs", preemptAfterMs);
    checkArgument(
        throttlePercent >= 1 && throttlePercent <= RunningAttempt.FULL_SPEED_PERCENT,
        "throttlePercent must be from 1 to 100, got %s",
        throttlePercent);
    checkNotNegative("checkpointAfterMs", checkpointAfterMs);
    checkPositive("suspectAfterFailures", suspectAfterFailures);
    checkPositive("probeDelayMs", probeDelayMs);
    checkPositive("giveUpAfterWorkers", giveUpAfterWorkers);
    checkNotNegative("acceleratorSkips", acceleratorSkips);
    checkPositive("maxStartsPerDecision", maxStartsPerDecision);
  }

  /**
   * Returns the quota of a team.
   *
   * @param team the team
   * @return the team's own quota, or the default quota
   */
  public TeamQuota quota(String team) {
    return quotas.getOrDefault(team, defaultQuota);
  }

  /**
   * Returns a copy with other weights.
   *
   * @param waiting the new waiting weight
   * @param packing the new packing weight
   * @param control the new control weight
   * @return the copy
   */
  public PolicySettings withWeights(double waiting, double packing, double control) {
    return new PolicySettings(
        waiting,
        packing,
        control,
        quotas,
        defaultQuota,
        maxQueuedTasks,
        maxQueuedTasksPerTeam,
        maxAttempts,
        retryBaseDelayMs,
        retryMaxDelayMs,
        initialCapacityShare,
        capacityMargin,
        reservationAfterMs,
        reservationMs,
        urgentHeadroomShare,
        preemptAfterMs,
        throttlePercent,
        checkpointAfterMs,
        suspectAfterFailures,
        probeDelayMs,
        giveUpAfterWorkers,
        giveUpNeverFits,
        acceleratorSkips,
        maxStartsPerDecision);
  }

  /**
   * Returns a copy with other quotas.
   *
   * @param newQuotas the quotas by team
   * @return the copy
   */
  public PolicySettings withQuotas(Map<String, TeamQuota> newQuotas) {
    return new PolicySettings(
        waitingWeight,
        packingWeight,
        controlWeight,
        newQuotas,
        defaultQuota,
        maxQueuedTasks,
        maxQueuedTasksPerTeam,
        maxAttempts,
        retryBaseDelayMs,
        retryMaxDelayMs,
        initialCapacityShare,
        capacityMargin,
        reservationAfterMs,
        reservationMs,
        urgentHeadroomShare,
        preemptAfterMs,
        throttlePercent,
        checkpointAfterMs,
        suspectAfterFailures,
        probeDelayMs,
        giveUpAfterWorkers,
        giveUpNeverFits,
        acceleratorSkips,
        maxStartsPerDecision);
  }

  /**
   * Returns a copy with other queue limits.
   *
   * @param total maximum number of waiting tasks in total
   * @param perTeam maximum number of waiting tasks per team
   * @return the copy
   */
  public PolicySettings withQueueBounds(int total, int perTeam) {
    return new PolicySettings(
        waitingWeight,
        packingWeight,
        controlWeight,
        quotas,
        defaultQuota,
        total,
        perTeam,
        maxAttempts,
        retryBaseDelayMs,
        retryMaxDelayMs,
        initialCapacityShare,
        capacityMargin,
        reservationAfterMs,
        reservationMs,
        urgentHeadroomShare,
        preemptAfterMs,
        throttlePercent,
        checkpointAfterMs,
        suspectAfterFailures,
        probeDelayMs,
        giveUpAfterWorkers,
        giveUpNeverFits,
        acceleratorSkips,
        maxStartsPerDecision);
  }

  /**
   * Returns a copy with another initial capacity share.
   *
   * @param share the initial learned capacity, as a share of the declared capacity
   * @return the copy
   */
  public PolicySettings withInitialCapacityShare(double share) {
    return new PolicySettings(
        waitingWeight,
        packingWeight,
        controlWeight,
        quotas,
        defaultQuota,
        maxQueuedTasks,
        maxQueuedTasksPerTeam,
        maxAttempts,
        retryBaseDelayMs,
        retryMaxDelayMs,
        share,
        capacityMargin,
        reservationAfterMs,
        reservationMs,
        urgentHeadroomShare,
        preemptAfterMs,
        throttlePercent,
        checkpointAfterMs,
        suspectAfterFailures,
        probeDelayMs,
        giveUpAfterWorkers,
        giveUpNeverFits,
        acceleratorSkips,
        maxStartsPerDecision);
  }

  /**
   * Returns a copy with another limit of accelerator skips.
   *
   * @param skips maximum number of times that a job is skipped, or 0 to disable
   * @return the copy
   */
  public PolicySettings withAcceleratorSkips(int skips) {
    return new PolicySettings(
        waitingWeight,
        packingWeight,
        controlWeight,
        quotas,
        defaultQuota,
        maxQueuedTasks,
        maxQueuedTasksPerTeam,
        maxAttempts,
        retryBaseDelayMs,
        retryMaxDelayMs,
        initialCapacityShare,
        capacityMargin,
        reservationAfterMs,
        reservationMs,
        urgentHeadroomShare,
        preemptAfterMs,
        throttlePercent,
        checkpointAfterMs,
        suspectAfterFailures,
        probeDelayMs,
        giveUpAfterWorkers,
        giveUpNeverFits,
        skips,
        maxStartsPerDecision);
  }

  /**
   * Returns a copy that gives up, or keeps, jobs that exceed every worker capacity seen so far.
   *
   * @param giveUp whether to give such jobs up
   * @return the copy
   */
  public PolicySettings withGiveUpNeverFits(boolean giveUp) {
    return new PolicySettings(
        waitingWeight,
        packingWeight,
        controlWeight,
        quotas,
        defaultQuota,
        maxQueuedTasks,
        maxQueuedTasksPerTeam,
        maxAttempts,
        retryBaseDelayMs,
        retryMaxDelayMs,
        initialCapacityShare,
        capacityMargin,
        reservationAfterMs,
        reservationMs,
        urgentHeadroomShare,
        preemptAfterMs,
        throttlePercent,
        checkpointAfterMs,
        suspectAfterFailures,
        probeDelayMs,
        giveUpAfterWorkers,
        giveUp,
        acceleratorSkips,
        maxStartsPerDecision);
  }

  private static void checkWeight(String name, double value) {
    checkArgument(value >= 0, "%s must not be negative, got %s", name, value);
  }

  private static void checkNotNegative(String name, long value) {
    checkArgument(value >= 0, "%s must not be negative, got %s", name, value);
  }

  private static void checkPositive(String name, long value) {
    checkArgument(value > 0, "%s must be above 0, got %s", name, value);
  }

  private static void checkShare(String name, double value) {
    checkArgument(value >= 0 && value <= 1, "%s must be from 0 to 1, got %s", name, value);
  }
}
