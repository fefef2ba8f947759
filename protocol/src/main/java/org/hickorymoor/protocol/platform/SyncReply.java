package org.hickorymoor.protocol.platform;

import java.util.List;

/**
 * What a worker says runs and has ended.
 *
 * @param nowMs worker time of the answer
 * @param incarnation changes with every restart of the worker
 * @param outcome whether the command took effect
 * @param tasks everything that runs
 * @param ended everything ended and not acknowledged
 * @param usage usage of the whole worker
 */
public record SyncReply(
    long nowMs,
    String incarnation,
    CommandOutcome outcome,
    List<RunningTask> tasks,
    List<EndedTask> ended,
    Usage usage) {
  /** Copies the lists. */
  public SyncReply {
    tasks = List.copyOf(tasks);
    ended = List.copyOf(ended);
  }
}
