package org.hickorymoor.domain.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.hickorymoor.domain.job.JobClass;
import org.jspecify.annotations.Nullable;

/**
 * Jobs of one class and about the same need, by team. Once its first job fits nowhere the whole
 * lane is passed over until a worker has room for that job.
 */
final class DemandGroup {

  private static final Comparator<TeamQueue> BY_SHARE =
      Comparator.<TeamQueue>comparingDouble(queue -> queue.team.share)
          .thenComparing(queue -> queue.team.team);

  final JobClass jobClass;
  final DemandBucket bucket;

  /** Job that fits nowhere at present, or null while the lane is open. */
  @Nullable QueuedJob blockedBy;

  private final Map<String, TeamQueue> queues = new HashMap<>();
  private final TreeSet<TeamQueue> order = new TreeSet<>(BY_SHARE);

  DemandGroup(JobClass jobClass, DemandBucket bucket) {
    this.jobClass = jobClass;
    this.bucket = bucket;
  }

  /** Returns the queue whose turn it is, or null if every team is held back. */
  @Nullable TeamQueue first() {
    return order.isEmpty() ? null : order.first();
  }

  boolean isEmpty() {
    return queues.isEmpty();
  }

  TeamQueue queueOf(TeamState team) {
    return queues.computeIfAbsent(team.team, name -> newQueue(team));
  }

  void removeIfEmpty(TeamQueue queue) {
    if (queue.isEmpty()) {
      removeFromOrder(queue);
      queues.remove(queue.team.team);
      queue.team.queues.remove(queue);
    }
  }

  /** Puts a queue in order by its team's present share. */
  void addToOrder(TeamQueue queue) {
    order.add(queue);
  }

  /** Takes a queue out of the order; its team's share must not have changed since. */
  void removeFromOrder(TeamQueue queue) {
    order.remove(queue);
  }

  private TeamQueue newQueue(TeamState team) {
    TeamQueue queue = new TeamQueue(team, this);
    team.queues.add(queue);
    addToOrder(queue);
    return queue;
  }
}
