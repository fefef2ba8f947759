package org.hickorymoor.daemon;

import java.util.Map;
import java.util.stream.Collectors;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.config.DomainConfig;
import org.hickorymoor.domain.config.PolicyWeights;
import org.hickorymoor.domain.config.TeamConfig;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.policy.PolicySettings;
import org.hickorymoor.domain.policy.TeamQuota;

/** Derives the settings of the scheduling policy from the cluster configuration. */
final class PolicySettingsFactory {

  private static final double PERCENT = 100;

  private PolicySettingsFactory() {}

  static PolicySettings of(ClusterConfig config, String domain) {
    PolicySettings defaults = PolicySettings.DEFAULT;
    PolicyWeights weights = config.weights();
    double sum = weights.sum() > 0 ? weights.sum() : 1;
    return new PolicySettings(
        weights.waiting() / sum,
        weights.packing() / sum,
        weights.control() / sum,
        quotas(config),
        quota(config.defaultTeam()),
        defaults.maxQueuedTasks(),
        config.jobClass(JobClass.BATCH).maxQueuedTasksPerTeam(),
        defaults.maxAttempts(),
        defaults.retryBaseDelayMs(),
        defaults.retryMaxDelayMs(),
        defaults.initialCapacityShare(),
        defaults.capacityMargin(),
        defaults.reservationAfterMs(),
        defaults.reservationMs(),
        headroom(config, domain),
        defaults.preemptAfterMs(),
        defaults.throttlePercent(),
        defaults.checkpointAfterMs(),
        defaults.suspectAfterFailures(),
        defaults.probeDelayMs(),
        defaults.giveUpAfterWorkers(),
        defaults.giveUpNeverFits(),
        defaults.acceleratorSkips(),
        defaults.maxStartsPerDecision());
  }

  private static double headroom(ClusterConfig config, String domain) {
    DomainConfig own = config.domains().get(domain);
    int percent =
        own == null ? DomainConfig.DEFAULT_URGENT_HEADROOM_PERCENT : own.urgentHeadroomPercent();
    return percent / PERCENT;
  }

  private static Map<String, TeamQuota> quotas(ClusterConfig config) {
    return config.teams().entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, team -> quota(team.getValue())));
  }

  private static TeamQuota quota(TeamConfig team) {
    return new TeamQuota(team.weight(), team.quota());
  }
}
