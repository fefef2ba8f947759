package org.hickorymoor.domain.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the constraints between fields of a configuration.
 *
 * <p>The result depends on the configuration only, so that all hosts agree on it regardless of
 * their clock, software version or state.
 */
public final class ConfigValidator {

  private ConfigValidator() {}

  /**
   * Returns all violated constraints of a configuration.
   *
   * @param config the configuration
   * @return the problems; empty if the configuration is valid
   */
  public static List<ConfigProblem> validate(ClusterConfig config) {
    List<ConfigProblem> problems = new ArrayList<>();
    if (config.weights().sum() <= 0) {
      problems.add(new ConfigProblem("weights", "a weight above 0", "none"));
    }
    checkHomeDomain(config, "defaultTeam", config.defaultTeam(), problems);
    for (Map.Entry<String, TeamConfig> team : new TreeMap<>(config.teams()).entrySet()) {
      checkHomeDomain(config, "teams." + team.getKey(), team.getValue(), problems);
    }
    if (config.dedupeWindowMs() > config.logRetentionMs()) {
      problems.add(
          new ConfigProblem(
              "dedupeWindowMs",
              "at most logRetentionMs, " + config.logRetentionMs(),
              Long.toString(config.dedupeWindowMs())));
    }
    return List.copyOf(problems);
  }

  private static void checkHomeDomain(
      ClusterConfig config, String path, TeamConfig team, List<ConfigProblem> problems) {
    String home = team.homeDomain();
    if (home != null && !config.domains().containsKey(home)) {
      problems.add(new ConfigProblem(path + ".homeDomain", "a name listed in domains", home));
    }
  }
}
