package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.job.JobClass;

/**
 * The configuration of a cluster.
 *
 * <p>Immutable. The constructor checks each component on its own; {@link ConfigValidator} checks
 * the constraints between components.
 *
 * @param version version, increased by every accepted publication; 0 if none was published
 * @param teams settings by team
 * @param defaultTeam settings of teams that are not listed in {@code teams}
 * @param classes settings by job class
 * @param weights weights of the goals of the scheduling policy
 * @param domains settings by failure domain
 * @param workers limits and drained state of workers
 * @param dedupeWindowMs time for which request keys are kept for deduplication
 * @param logRetentionMs time for which the log is assumed to keep records
 */
public record ClusterConfig(
    long version,
    Map<String, TeamConfig> teams,
    TeamConfig defaultTeam,
    Map<JobClass, ClassConfig> classes,
    PolicyWeights weights,
    Map<String, DomainConfig> domains,
    WorkersConfig workers,
    long dedupeWindowMs,
    long logRetentionMs) {

  /** Default of {@link #dedupeWindowMs}, 1 hour. */
  public static final long DEFAULT_DEDUPE_WINDOW_MS = 3_600_000;

  /** Default of {@link #logRetentionMs}, 24 hours. */
  public static final long DEFAULT_LOG_RETENTION_MS = 24 * 3_600_000;

  /** Minimum of {@link #dedupeWindowMs} and {@link #logRetentionMs}. */
  public static final long MIN_WINDOW_MS = 1_000;

  /** Maximum of {@link #dedupeWindowMs} and {@link #logRetentionMs}, 365 days. */
  public static final long MAX_WINDOW_MS = 365 * 24 * 3_600_000L;

  /** The configuration in effect before the first publication. */
  public static final ClusterConfig DEFAULT =
      new ClusterConfig(
          0,
          Map.of(),
          TeamConfig.DEFAULT,
          Map.of(),
          PolicyWeights.DEFAULT,
          Map.of(),
          WorkersConfig.DEFAULT,
          DEFAULT_DEDUPE_WINDOW_MS,
          DEFAULT_LOG_RETENTION_MS);

  /** Copies the maps, adds the defaults of missing classes and checks the ranges. */
  public ClusterConfig {
    checkArgument(version >= 0, "version must not be negative, got %s", version);
    teams = Map.copyOf(teams);
    requireNonNull(defaultTeam, "defaultTeam");
    classes = withDefaults(classes);
    requireNonNull(weights, "weights");
    domains = Map.copyOf(domains);
    requireNonNull(workers, "workers");
    checkWindow("dedupeWindowMs", dedupeWindowMs);
    checkWindow("logRetentionMs", logRetentionMs);
  }

  /**
   * Returns the settings of a team.
   *
   * @param team the team
   * @return its own settings, or {@link #defaultTeam}
   */
  public TeamConfig team(String team) {
    return teams.getOrDefault(team, defaultTeam);
  }

  /**
   * Returns the settings of a job class.
   *
   * @param jobClass the class
   * @return the settings
   */
  public ClassConfig jobClass(JobClass jobClass) {
    return classes.getOrDefault(jobClass, ClassConfig.defaultOf(jobClass));
  }

  /**
   * Returns a copy with another version.
   *
   * @param newVersion version of the copy
   * @return the copy
   */
  public ClusterConfig withVersion(long newVersion) {
    return new ClusterConfig(
        newVersion,
        teams,
        defaultTeam,
        classes,
        weights,
        domains,
        workers,
        dedupeWindowMs,
        logRetentionMs);
  }

  /**
   * Returns a copy with a changed drained state of one worker.
   *
   * @param workerId id of the worker
   * @param drained whether the worker is drained, that is, receives no new tasks
   * @return the copy, with the same version
   */
  public ClusterConfig withDrained(String workerId, boolean drained) {
    Set<String> all = new HashSet<>(workers.drained());
    if (drained) {
      all.add(workerId);
    } else {
      all.remove(workerId);
    }
    WorkersConfig changed = new WorkersConfig(workers.defaultLimit(), workers.limits(), all);
    return new ClusterConfig(
        version,
        teams,
        defaultTeam,
        classes,
        weights,
        domains,
        changed,
        dedupeWindowMs,
        logRetentionMs);
  }

  private static Map<JobClass, ClassConfig> withDefaults(Map<JobClass, ClassConfig> given) {
    EnumMap<JobClass, ClassConfig> all = new EnumMap<>(JobClass.class);
    for (JobClass jobClass : JobClass.values()) {
      all.put(jobClass, given.getOrDefault(jobClass, ClassConfig.defaultOf(jobClass)));
    }
    return Map.copyOf(all);
  }

  private static void checkWindow(String name, long windowMs) {
    checkArgument(
        windowMs >= MIN_WINDOW_MS && windowMs <= MAX_WINDOW_MS,
        "%s must be from %s to %s, got %s",
        name,
        MIN_WINDOW_MS,
        MAX_WINDOW_MS,
        windowMs);
  }
}
