package org.hickorymoor.protocol.config;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.config.ClassConfig;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.config.DomainConfig;
import org.hickorymoor.domain.config.PolicyWeights;
import org.hickorymoor.domain.config.TeamConfig;
import org.hickorymoor.domain.config.WorkerLimit;
import org.hickorymoor.domain.config.WorkersConfig;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.protocol.json.EnumNames;
import org.hickorymoor.protocol.json.RecordReader;
import org.hickorymoor.protocol.json.ValueReader;

/** Reads configurations of schema version 2, which is structured like {@link ClusterConfig}. */
final class NestedConfigReader {

  private NestedConfigReader() {}

  static ClusterConfig read(RecordReader reader) {
    return new ClusterConfig(
        0,
        reader.optional(
            ConfigFields.TEAMS,
            value ->
                value.asMap(
                    ConfigFields.MAX_TEAMS, team -> team.asObject(NestedConfigReader::team)),
            Map.of()),
        reader.optional(
            ConfigFields.DEFAULT_TEAM,
            value -> value.asObject(NestedConfigReader::team),
            TeamConfig.DEFAULT),
        reader.optional(
            ConfigFields.CLASSES, value -> value.asObject(NestedConfigReader::classes), Map.of()),
        reader.optional(
            ConfigFields.WEIGHTS,
            value -> value.asObject(NestedConfigReader::weights),
            PolicyWeights.DEFAULT),
        reader.optional(
            ConfigFields.DOMAINS,
            value ->
                value.asMap(
                    ConfigFields.MAX_DOMAINS,
                    domain -> domain.asObject(NestedConfigReader::domain)),
            Map.of()),
        reader.optional(
            ConfigFields.WORKERS,
            value -> value.asObject(NestedConfigReader::workers),
            WorkersConfig.DEFAULT),
        window(reader, ConfigFields.DEDUPE_WINDOW_MS, ClusterConfig.DEFAULT_DEDUPE_WINDOW_MS),
        window(reader, ConfigFields.LOG_RETENTION_MS, ClusterConfig.DEFAULT_LOG_RETENTION_MS));
  }

  static long window(RecordReader reader, String name, long defaultMs) {
    return reader.optional(
        name,
        value -> value.asLong(ClusterConfig.MIN_WINDOW_MS, ClusterConfig.MAX_WINDOW_MS),
        defaultMs);
  }

  static DomainConfig domain(RecordReader reader) {
    return new DomainConfig(
        reader.required(ConfigFields.REGION).asName(),
        reader.optional(
            ConfigFields.URGENT_HEADROOM_PERCENT,
            value -> value.asInt(0, DomainConfig.MAX_URGENT_HEADROOM_PERCENT),
            DomainConfig.DEFAULT_URGENT_HEADROOM_PERCENT));
  }

  private static TeamConfig team(RecordReader reader) {
    return new TeamConfig(
        reader.optional(
            ConfigFields.WEIGHT,
            value -> value.asDouble(TeamConfig.MIN_WEIGHT, TeamConfig.MAX_WEIGHT),
            TeamConfig.DEFAULT.weight()),
        reader.optional(ConfigFields.QUOTA, value -> value.asObject(NestedConfigReader::resources)),
        reader.optional(ConfigFields.HOME_DOMAIN, ValueReader::asName));
  }

  private static Map<JobClass, ClassConfig> classes(RecordReader reader) {
    Map<JobClass, ClassConfig> classes = new EnumMap<>(JobClass.class);
    for (JobClass jobClass : JobClass.values()) {
      ClassConfig defaults = ClassConfig.defaultOf(jobClass);
      classes.put(
          jobClass,
          reader.optional(
              EnumNames.toKebabCase(jobClass),
              value -> value.asObject(fields -> classConfig(fields, defaults)),
              defaults));
    }
    return classes;
  }

  private static ClassConfig classConfig(RecordReader reader, ClassConfig defaults) {
    return new ClassConfig(
        reader.optional(
            ConfigFields.START_TARGET_MS,
            value -> value.asLong(1, ClassConfig.MAX_START_TARGET_MS),
            defaults.startTargetMs()),
        reader.optional(
            ConfigFields.MAX_QUEUED_TASKS_PER_TEAM,
            value -> value.asInt(1, ClassConfig.MAX_QUEUED_TASKS),
            defaults.maxQueuedTasksPerTeam()));
  }

  private static PolicyWeights weights(RecordReader reader) {
    return new PolicyWeights(
        weight(reader, ConfigFields.WAITING),
        weight(reader, ConfigFields.PACKING),
        weight(reader, ConfigFields.CONTROL));
  }

  private static double weight(RecordReader reader, String name) {
    return reader.required(name).asDouble(0, PolicyWeights.MAX_WEIGHT);
  }

  private static WorkersConfig workers(RecordReader reader) {
    return new WorkersConfig(
        reader.optional(
            ConfigFields.DEFAULT_LIMIT,
            value -> value.asObject(NestedConfigReader::limit),
            WorkerLimit.DEFAULT),
        reader.optional(
            ConfigFields.LIMITS,
            value ->
                value.asMap(
                    ConfigFields.MAX_WORKERS, limit -> limit.asObject(NestedConfigReader::limit)),
            Map.of()),
        reader.optional(
            ConfigFields.DRAINED,
            value -> Set.copyOf(value.asList(ConfigFields.MAX_WORKERS, ValueReader::asName)),
            Set.of()));
  }

  private static WorkerLimit limit(RecordReader reader) {
    return new WorkerLimit(
        reader.optional(
            ConfigFields.SHARE_PERCENT,
            value -> value.asInt(0, ConfigFields.MAX_PERCENT),
            WorkerLimit.DEFAULT.sharePercent()),
        reader.optional(ConfigFields.MAX, value -> value.asObject(NestedConfigReader::resources)));
  }

  private static Resources resources(RecordReader reader) {
    return new Resources(
        amount(reader, ConfigFields.SLOTS),
        amount(reader, ConfigFields.CONNECTIONS),
        amount(reader, ConfigFields.CPU_MILLIS),
        amount(reader, ConfigFields.MEMORY_MB),
        amount(reader, ConfigFields.ACCELERATORS));
  }

  static int amount(RecordReader reader, String name) {
    return reader.optional(
        name, value -> value.asInt(0, ConfigFields.UNLIMITED), ConfigFields.UNLIMITED);
  }
}
