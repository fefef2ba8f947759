package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;

import org.hickorymoor.domain.job.JobClass;

/**
 * Settings of one job class.
 *
 * @param startTargetMs time within which a job should start
 * @param maxQueuedTasksPerTeam maximum number of queued tasks of one team; further ones are
 *     rejected as an overload
 */
public record ClassConfig(long startTargetMs, int maxQueuedTasksPerTeam) {

  /** Maximum start target, 7 days. */
  public static final long MAX_START_TARGET_MS = 7 * 24 * 3_600_000L;

  /** Maximum of {@link #maxQueuedTasksPerTeam}. */
  public static final int MAX_QUEUED_TASKS = 1_000_000;

  /**
   * Returns the default settings of a class.
   *
   * @param jobClass the class
   * @return the defaults
   */
  public static ClassConfig defaultOf(JobClass jobClass) {
    return switch (jobClass) {
      case URGENT -> new ClassConfig(1_100, 5_000);
      case NORMAL -> new ClassConfig(30_000, 20_000);
      case BATCH -> new ClassConfig(3_600_000, 20_000);
    };
  }

  /** Checks the ranges. */
  public ClassConfig {
    checkArgument(
        startTargetMs >= 1 && startTargetMs <= MAX_START_TARGET_MS,
        "startTargetMs must be from 1 to %s, got %s",
        MAX_START_TARGET_MS,
        startTargetMs);
    checkArgument(
        maxQueuedTasksPerTeam >= 1 && maxQueuedTasksPerTeam <= MAX_QUEUED_TASKS,
        "maxQueuedTasksPerTeam must be from 1 to %s, got %s",
        MAX_QUEUED_TASKS,
        maxQueuedTasksPerTeam);
  }
}
