package org.hickorymoor.domain.config;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Set;

/**
 * How workers are used.
 *
 * @param defaultLimit limit of every worker that has none of its own
 * @param limits limits by worker id
 * @param drained ids of workers that get no new work
 */
public record WorkersConfig(
    WorkerLimit defaultLimit, Map<String, WorkerLimit> limits, Set<String> drained) {

  /** All of every worker. */
  public static final WorkersConfig DEFAULT =
      new WorkersConfig(WorkerLimit.DEFAULT, Map.of(), Set.of());

  /** Copies the collections. */
  public WorkersConfig {
    requireNonNull(defaultLimit, "defaultLimit");
    limits = Map.copyOf(limits);
    drained = Set.copyOf(drained);
  }

  /**
   * Returns the limit of a worker.
   *
   * @param workerId the worker
   * @return its own limit, or the default
   */
  public WorkerLimit limit(String workerId) {
    return limits.getOrDefault(workerId, defaultLimit);
  }
}
