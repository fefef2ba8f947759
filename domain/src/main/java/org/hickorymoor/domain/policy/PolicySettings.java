package org.hickorymoor.domain.policy;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;

/**
 * What a deployment wants of its scheduler.
 *
 * <pre>{@code
 * PolicySettings settings = PolicySettings.DEFAULT.withWeights(0.7, 0.2, 0.1);
 * }</pre>
 *
 * @param waitingWeight how much short waiting counts, relative to the other two weights
 * @param packingWeight how much full workers count
 * @param controlWeight how much few decisions and few touched workers count
 * @param quotas quota of each team that has its own
 * @param defaultQuota quota of every other team
 * @param maxQueuedTasks most tasks that wait in total
 * @param maxQueuedTasksPerTeam most tasks that wait of one team
 * @param maxAttempts most attempts at one task
 * @param retryBaseDelayMs delay before the second attempt; it doubles with each further one
 * @param retryMaxDelayMs longest delay between attempts
 * @param initialCapacityShare share of its declared capacity that a new worker is trusted with
 * @param capacityMargin share of the declared capacity that reported use has to leave free
 * @param reservationAfterMs wait after which workers are drained for a job
 * @param reservationMs time after which an unused reservation expires
 * @param urgentHeadroomShare share of all slots that jobs of class BATCH leave free
 * @param preemptAfterMs wait after which an urgent job takes room from class BATCH
 * @param throttlePercent speed that throttled tasks run at
 * @param checkpointAfterMs run time from which a task is checkpointed before it is stopped
 * @param suspectAfterFailures failures in a row after which a worker is set aside
 * @param probeDelayMs time after which a worker that was set aside is tried with one task
 * @param giveUpAfterWorkers sound workers on which a job fails before it is given up
 * @param giveUpNeverFits whether to give up jobs larger than any worker ever declared
 * @param acceleratorSkips how many decisions in a row leave a worker with accelerators to work that
 *     needs them; 0 to place by best fit alone
 * @param maxStartsPerDecision most starts that one call decides
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

  /** Checks the ranges and copies the map. */
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
   * @return its own quota, or the default one
   */
  public TeamQuota quota(String team) {
    return quotas.getOrDefault(team, defaultQuota);
  }

  /**
   * Returns a copy with other weights.
   *
   * @param waiting new weight of short waiting
   * @param packing new weight of full workers
   * @param control new weight of few decisions
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
   * @param newQuotas quota of each team that has its own
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
   * Returns a copy with other bounds of the queue.
   *
   * @param total most tasks that wait in total
   * @param perTeam most tasks that wait of one team
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
   * Returns a copy with another start of the learned capacity.
   *
   * @param share share of its declared capacity that a new worker is trusted with
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
   * Returns a copy with another bounded skip for workers with accelerators.
   *
   * @param skips how many decisions in a row leave such a worker to work that needs it
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
   * Returns a copy that gives up, or keeps, jobs larger than any worker ever declared.
   *
   * @param giveUp whether to give them up
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
