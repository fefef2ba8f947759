package org.hickorymoor.protocol.config;

/** Field names and limits common to several schema versions. */
final class ConfigFields {

  static final String SCHEMA_VERSION = "schemaVersion";
  static final String TEAMS = "teams";
  static final String DEFAULT_TEAM = "defaultTeam";
  static final String CLASSES = "classes";
  static final String WEIGHTS = "weights";
  static final String WAITING = "waiting";
  static final String PACKING = "packing";
  static final String CONTROL = "control";
  static final String DOMAINS = "domains";
  static final String WORKERS = "workers";
  static final String DEFAULT_LIMIT = "defaultLimit";
  static final String LIMITS = "limits";
  static final String DRAINED = "drained";
  static final String SHARE_PERCENT = "sharePercent";
  static final String MAX = "max";
  static final String DEDUPE_WINDOW_MS = "dedupeWindowMs";
  static final String LOG_RETENTION_MS = "logRetentionMs";
  static final String NAME = "name";
  static final String WEIGHT = "weight";
  static final String QUOTA = "quota";
  static final String HOME_DOMAIN = "homeDomain";
  static final String REGION = "region";
  static final String URGENT_HEADROOM_PERCENT = "urgentHeadroomPercent";
  static final String START_TARGET_MS = "startTargetMs";
  static final String MAX_QUEUED_TASKS_PER_TEAM = "maxQueuedTasksPerTeam";
  static final String SLOTS = "slots";
  static final String CONNECTIONS = "connections";
  static final String CPU_MILLIS = "cpuMillis";
  static final String MEMORY_MB = "memoryMb";
  static final String ACCELERATORS = "accelerators";

  static final int MAX_TEAMS = 4_096;
  static final int MAX_DOMAINS = 256;
  static final int MAX_WORKERS = 16_384;
  static final int MAX_PERCENT = 100;

  /** Marks a resource without a limit. */
  static final int UNLIMITED = Integer.MAX_VALUE;

  private ConfigFields() {}
}
