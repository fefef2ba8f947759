package org.hickorymoor.domain.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.hickorymoor.domain.job.JobClass;
import org.jspecify.annotations.Nullable;

/**
 * Waiting jobs of one class and of similar demand, by team. When the next job of the group fits on
 * no worker, the whole group is skipped until a worker has room for that job.
 */
final class DemandGroup {

  private static final Comparator<TeamQueue> BY_SHARE =
      Comparator.<TeamQueue>comparingDouble(queue -> queue.team.share)
          .thenComparing(queue -> queue.team.team);

  final JobClass jobClass;
  final DemandBucket bucket;

  /** Job that currently fits on no worker, or null while the group is active. */
  @Nullable QueuedJob blockedBy;

  private final Map<String, TeamQueue> queues = new HashMap<>();
  private final TreeSet<TeamQueue> order = new TreeSet<>(BY_SHARE);

  DemandGroup(JobClass jobClass, DemandBucket bucket) {
    this.jobClass = jobClass;
    this.bucket = bucket;
  }

  /** Returns the queue of the team with the smallest share, or null if all are held by quota. */
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

  /** Adds a queue to the order by the current share of its team. */
  void addToOrder(TeamQueue queue) {
    order.add(queue);
  }

  /** Removes a queue from the order; the share of its team must be the same as when added. */
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
