package org.hickorymoor.protocol.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
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
import org.hickorymoor.protocol.json.EnumNames;
import org.jspecify.annotations.Nullable;

/** Serializes configurations in schema version 2, with the fields in a fixed order. */
final class ConfigWriter {

  private ConfigWriter() {}

  static JsonObject write(ClusterConfig config) {
    JsonObject object = new JsonObject();
    object.addProperty(ConfigFields.SCHEMA_VERSION, ConfigCodec.NESTED_VERSION);
    object.add(ConfigFields.TEAMS, map(config.teams(), ConfigWriter::team));
    object.add(ConfigFields.DEFAULT_TEAM, team(config.defaultTeam()));
    object.add(ConfigFields.CLASSES, classes(config.classes()));
    object.add(ConfigFields.WEIGHTS, weights(config.weights()));
    object.add(ConfigFields.DOMAINS, map(config.domains(), ConfigWriter::domain));
    object.add(ConfigFields.WORKERS, workers(config.workers()));
    object.addProperty(ConfigFields.DEDUPE_WINDOW_MS, config.dedupeWindowMs());
    object.addProperty(ConfigFields.LOG_RETENTION_MS, config.logRetentionMs());
    return object;
  }

  private static <T> JsonObject map(Map<String, T> map, Function<T, JsonElement> write) {
    JsonObject object = new JsonObject();
    new TreeMap<>(map).forEach((name, value) -> object.add(name, write.apply(value)));
    return object;
  }

  private static JsonObject team(TeamConfig team) {
    JsonObject object = new JsonObject();
    object.addProperty(ConfigFields.WEIGHT, team.weight());
    addResources(object, ConfigFields.QUOTA, team.quota());
    if (team.homeDomain() != null) {
      object.addProperty(ConfigFields.HOME_DOMAIN, team.homeDomain());
    }
    return object;
  }

  private static JsonObject classes(Map<JobClass, ClassConfig> classes) {
    JsonObject object = new JsonObject();
    new TreeMap<>(classes)
        .forEach(
            (jobClass, config) -> object.add(EnumNames.toKebabCase(jobClass), classConfig(config)));
    return object;
  }

  private static JsonObject classConfig(ClassConfig config) {
    JsonObject object = new JsonObject();
    object.addProperty(ConfigFields.START_TARGET_MS, config.startTargetMs());
    object.addProperty(ConfigFields.MAX_QUEUED_TASKS_PER_TEAM, config.maxQueuedTasksPerTeam());
    return object;
  }

  private static JsonObject weights(PolicyWeights weights) {
    JsonObject object = new JsonObject();
    object.addProperty(ConfigFields.WAITING, weights.waiting());
    object.addProperty(ConfigFields.PACKING, weights.packing());
    object.addProperty(ConfigFields.CONTROL, weights.control());
    return object;
  }

  private static JsonObject domain(DomainConfig domain) {
    JsonObject object = new JsonObject();
    object.addProperty(ConfigFields.REGION, domain.region());
    object.addProperty(ConfigFields.URGENT_HEADROOM_PERCENT, domain.urgentHeadroomPercent());
    return object;
  }

  private static JsonObject workers(WorkersConfig workers) {
    JsonObject object = new JsonObject();
    object.add(ConfigFields.DEFAULT_LIMIT, limit(workers.defaultLimit()));
    object.add(ConfigFields.LIMITS, map(workers.limits(), ConfigWriter::limit));
    JsonArray drained = new JsonArray();
    new TreeSet<>(workers.drained()).forEach(drained::add);
    object.add(ConfigFields.DRAINED, drained);
    return object;
  }

  private static JsonObject limit(WorkerLimit limit) {
    JsonObject object = new JsonObject();
    object.addProperty(ConfigFields.SHARE_PERCENT, limit.sharePercent());
    addResources(object, ConfigFields.MAX, limit.max());
    return object;
  }

  private static void addResources(JsonObject parent, String name, @Nullable Resources amount) {
    if (amount == null) {
      return;
    }
    JsonObject object = new JsonObject();
    addAmount(object, ConfigFields.SLOTS, amount.slots());
    addAmount(object, ConfigFields.CONNECTIONS, amount.connections());
    addAmount(object, ConfigFields.CPU_MILLIS, amount.cpuMillis());
    addAmount(object, ConfigFields.MEMORY_MB, amount.memoryMb());
    addAmount(object, ConfigFields.ACCELERATORS, amount.accelerators());
    parent.add(name, object);
  }

  private static void addAmount(JsonObject object, String name, int amount) {
    if (amount != ConfigFields.UNLIMITED) {
      object.addProperty(name, amount);
    }
  }
}
