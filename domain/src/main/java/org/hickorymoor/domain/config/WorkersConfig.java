package org.hickorymoor.domain.config;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Set;

/**
 * Limits and drained state of workers.
 *
 * @param defaultLimit limit of workers that are not listed in {@code limits}
 * @param limits limits by worker id
 * @param drained ids of workers that receive no new tasks
 */
public record WorkersConfig(
    WorkerLimit defaultLimit, Map<String, WorkerLimit> limits, Set<String> drained) {

  /** The whole capacity of every worker, none drained. */
  public static final WorkersConfig DEFAULT =
      new WorkersConfig(WorkerLimit.DEFAULT, Map.of(), Set.of());

  /** Makes defensive copies of the collections. */
  public WorkersConfig {
    requireNonNull(defaultLimit, "defaultLimit");
    limits = Map.copyOf(limits);
    drained = Set.copyOf(drained);
  }

  /**
   * Returns the limit of a worker.
   *
   * @param workerId id of the worker
   * @return its own limit, or {@link #defaultLimit}
   */
  public WorkerLimit limit(String workerId) {
    return limits.getOrDefault(workerId, defaultLimit);
  }
}
