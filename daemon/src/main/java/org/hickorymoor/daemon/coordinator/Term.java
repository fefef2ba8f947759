package org.hickorymoor.daemon.coordinator;

import java.util.HashMap;
import java.util.Map;
import org.hickorymoor.protocol.platform.SyncReply;
import org.jspecify.annotations.Nullable;

/** What a coordinator gathers from its candidacy to the end of its term. Not thread-safe. */
final class Term {

  /**
   * The first list of a worker.
   *
   * @param agent the worker's agent
   * @param sentMs own time at which it was asked for
   * @param reply the list, with labels
   */
  record FirstList(WorkerAgent agent, long sentMs, SyncReply reply) {}

  private final long candidateMs;
  private final Map<String, FirstList> firstLists = new HashMap<>();
  private @Nullable Cell cell;

  Term(long candidateMs) {
    this.candidateMs = candidateMs;
  }

  long candidateMs() {
    return candidateMs;
  }

  @Nullable Cell cell() {
    return cell;
  }

  void open(Cell newCell) {
    cell = newCell;
  }

  void listed(WorkerAgent agent, long sentMs, SyncReply reply) {
    firstLists.putIfAbsent(agent.workerId(), new FirstList(agent, sentMs, reply));
  }

  Map<String, FirstList> takeFirstLists() {
    Map<String, FirstList> taken = Map.copyOf(firstLists);
    firstLists.clear();
    return taken;
  }
}
