package org.hickorymoor.protocol.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.config.ClassConfig;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.config.DomainConfig;
import org.hickorymoor.domain.config.PolicyWeights;
import org.hickorymoor.domain.config.TeamConfig;
import org.hickorymoor.domain.config.WorkerLimit;
import org.hickorymoor.domain.config.WorkersConfig;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.protocol.json.RecordReader;
import org.hickorymoor.protocol.json.ValueReader;

/**
 * Reads configurations of schema version 1 and converts them to {@link ClusterConfig}.
 *
 * <ul>
 *   <li>Weights are integer percentages and are divided by 100; the policy weights must sum to 100.
 *   <li>Teams and domains are lists of objects with a name field.
 *   <li>Quotas are fields of the team; a resource without a quota is unlimited.
 *   <li>{@code urgentStartTargetMs}, {@code workerSharePercent} and {@code drainedWorkers} are the
 *       only settings of classes and workers; all others have their default values.
 * </ul>
 */
final class FlatConfigReader {

  private static final String WEIGHT_PERCENT = "weightPercent";
  private static final String WAITING_PERCENT = "waitingPercent";
  private static final String PACKING_PERCENT = "packingPercent";
  private static final String CONTROL_PERCENT = "controlPercent";
  private static final String URGENT_START_TARGET_MS = "urgentStartTargetMs";
  private static final String WORKER_SHARE_PERCENT = "workerSharePercent";
  private static final String DRAINED_WORKERS = "drainedWorkers";
  private static final int MAX_TEAM_WEIGHT_PERCENT = 100_000;
  private static final Resources NO_QUOTA =
      new Resources(
          ConfigFields.UNLIMITED,
          ConfigFields.UNLIMITED,
          ConfigFields.UNLIMITED,
          ConfigFields.UNLIMITED,
          ConfigFields.UNLIMITED);

  private record Named<T>(String name, T value) {}

  private FlatConfigReader() {}

  static ClusterConfig read(RecordReader reader) {
    return new ClusterConfig(
        0,
        map(reader, ConfigFields.TEAMS, ConfigFields.MAX_TEAMS, FlatConfigReader::team),
        TeamConfig.DEFAULT,
        classes(reader),
        weights(reader),
        map(reader, ConfigFields.DOMAINS, ConfigFields.MAX_DOMAINS, FlatConfigReader::domain),
        workers(reader),
        NestedConfigReader.window(
            reader, ConfigFields.DEDUPE_WINDOW_MS, ClusterConfig.DEFAULT_DEDUPE_WINDOW_MS),
        NestedConfigReader.window(
            reader, ConfigFields.LOG_RETENTION_MS, ClusterConfig.DEFAULT_LOG_RETENTION_MS));
  }

  private static <T> Map<String, T> map(
      RecordReader reader, String name, int maxSize, Function<RecordReader, Named<T>> readItem) {
    List<Named<T>> list =
        reader.optional(
            name, value -> value.asList(maxSize, element -> element.asObject(readItem)), List.of());
    Map<String, T> map = new LinkedHashMap<>();
    for (Named<T> entry : list) {
      if (map.put(entry.name(), entry.value()) != null) {
        reader.reject(name, "unique names", "duplicate name " + entry.name());
      }
    }
    return map;
  }

  private static Named<TeamConfig> team(RecordReader reader) {
    int weightPercent =
        reader.optional(
            WEIGHT_PERCENT,
            value -> value.asInt(1, MAX_TEAM_WEIGHT_PERCENT),
            ConfigFields.MAX_PERCENT);
    Resources quota =
        new Resources(
            NestedConfigReader.amount(reader, ConfigFields.SLOTS),
            NestedConfigReader.amount(reader, ConfigFields.CONNECTIONS),
            NestedConfigReader.amount(reader, ConfigFields.CPU_MILLIS),
            NestedConfigReader.amount(reader, ConfigFields.MEMORY_MB),
            NestedConfigReader.amount(reader, ConfigFields.ACCELERATORS));
    TeamConfig team =
        new TeamConfig(
            toFraction(weightPercent),
            quota.equals(NO_QUOTA) ? null : quota,
            reader.optional(ConfigFields.HOME_DOMAIN, ValueReader::asName));
    return new Named<>(reader.required(ConfigFields.NAME).asName(), team);
  }

  private static Named<DomainConfig> domain(RecordReader reader) {
    String name = reader.required(ConfigFields.NAME).asName();
    return new Named<>(name, NestedConfigReader.domain(reader));
  }

  private static Map<JobClass, ClassConfig> classes(RecordReader reader) {
    ClassConfig defaults = ClassConfig.defaultOf(JobClass.URGENT);
    long startTargetMs =
        reader.optional(
            URGENT_START_TARGET_MS,
            value -> value.asLong(1, ClassConfig.MAX_START_TARGET_MS),
            defaults.startTargetMs());
    return Map.of(
        JobClass.URGENT, new ClassConfig(startTargetMs, defaults.maxQueuedTasksPerTeam()));
  }

  private static PolicyWeights weights(RecordReader reader) {
    int waitingPercent = percent(reader, WAITING_PERCENT);
    int packingPercent = percent(reader, PACKING_PERCENT);
    int controlPercent = percent(reader, CONTROL_PERCENT);
    int sumPercent = waitingPercent + packingPercent + controlPercent;
    if (sumPercent != ConfigFields.MAX_PERCENT) {
      reader.reject(
          CONTROL_PERCENT,
          "waitingPercent, packingPercent and controlPercent to sum to 100",
          "a sum of " + sumPercent);
      return PolicyWeights.DEFAULT;
    }
    return new PolicyWeights(
        toFraction(waitingPercent), toFraction(packingPercent), toFraction(controlPercent));
  }

  private static int percent(RecordReader reader, String name) {
    return reader.required(name).asInt(0, ConfigFields.MAX_PERCENT);
  }

  private static double toFraction(int percent) {
    return percent / (double) ConfigFields.MAX_PERCENT;
  }

  private static WorkersConfig workers(RecordReader reader) {
    WorkerLimit limit =
        new WorkerLimit(
            reader.optional(
                WORKER_SHARE_PERCENT,
                value -> value.asInt(0, ConfigFields.MAX_PERCENT),
                WorkerLimit.DEFAULT.sharePercent()),
            null);
    Set<String> drained =
        reader.optional(
            DRAINED_WORKERS,
            value -> Set.copyOf(value.asList(ConfigFields.MAX_WORKERS, ValueReader::asName)),
            Set.of());
    return new WorkersConfig(limit, Map.of(), drained);
  }
}
