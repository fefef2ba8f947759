package org.hickorymoor.protocol.platform;

import java.util.List;

/**
 * Response of a worker to a sync: its running and ended tasks.
 *
 * @param nowMs worker clock when the response was sent
 * @param incarnation identifies the run of the worker process; changes with every restart
 * @param outcome outcome of the command
 * @param tasks all running tasks
 * @param ended all ended tasks that have not been acknowledged
 * @param usage resource usage of the whole worker
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
