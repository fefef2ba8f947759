package org.hickorymoor.daemon.coordinator;

import java.util.HashMap;
import java.util.Map;
import org.hickorymoor.protocol.platform.SyncReply;
import org.jspecify.annotations.Nullable;

/** State of one term, from candidacy to its end. Not thread-safe. */
final class Term {

  /**
   * The first task list received from a worker in this term.
   *
   * @param agent the worker's agent
   * @param sentMs local time at which the request was sent
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

  void setCell(Cell newCell) {
    cell = newCell;
  }

  void addFirstList(WorkerAgent agent, long sentMs, SyncReply reply) {
    firstLists.putIfAbsent(agent.workerId(), new FirstList(agent, sentMs, reply));
  }

  Map<String, FirstList> drainFirstLists() {
    Map<String, FirstList> taken = Map.copyOf(firstLists);
    firstLists.clear();
    return taken;
  }
}
