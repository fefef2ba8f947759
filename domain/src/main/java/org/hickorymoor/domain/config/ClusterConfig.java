package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.job.JobClass;

/**
 * The whole configuration of a cluster.
 *
 * <p>Immutable and safe for use by several threads. {@link ConfigValidator} checks what concerns
 * more than one field.
 *
 * @param version number of configurations accepted before it; 0 if none ever was
 * @param teams settings by team
 * @param defaultTeam settings of every other team
 * @param classes settings of every class
 * @param weights what is weighed most
 * @param domains settings by failure domain
 * @param workers how workers are used
 * @param dedupeWindowMs time for which request keys are remembered
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

  /** Time for which request keys are remembered, where none is given. */
  public static final long DEFAULT_DEDUPE_WINDOW_MS = 3_600_000;

  /** Time for which the log is assumed to keep records, where none is given. */
  public static final long DEFAULT_LOG_RETENTION_MS = 24 * 3_600_000;

  /** Shortest time of either kind. */
  public static final long MIN_WINDOW_MS = 1_000;

  /** Longest time of either kind. */
  public static final long MAX_WINDOW_MS = 365 * 24 * 3_600_000L;

  /** The configuration in force before any was published. */
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

  /** Copies the maps, fills in absent classes and checks the ranges. */
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
   * @return its own settings, or the default
   */
  public TeamConfig team(String team) {
    return teams.getOrDefault(team, defaultTeam);
  }

  /**
   * Returns the settings of a class.
   *
   * @param jobClass the class
   * @return its settings
   */
  public ClassConfig jobClass(JobClass jobClass) {
    return classes.getOrDefault(jobClass, ClassConfig.defaultOf(jobClass));
  }

  /**
   * Returns a copy with another version.
   *
   * @param newVersion the version
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
   * Returns a copy in which one worker is drained, or not.
   *
   * @param workerId the worker
   * @param drained whether it gets no new work
   * @return the copy, of the same version
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
