package org.hickorymoor.domain.policy;

import java.util.LinkedHashSet;

/** Jobs of one team that wait in one lane, first come, first served. */
final class TeamQueue {

  final TeamState team;
  final DemandGroup group;

  /** True while the limit of its team's quota keeps it back. */
  boolean heldByQuota;

  private final LinkedHashSet<QueuedJob> jobs = new LinkedHashSet<>();

  TeamQueue(TeamState team, DemandGroup group) {
    this.team = team;
    this.group = group;
  }

  void add(QueuedJob job) {
    jobs.add(job);
  }

  void remove(QueuedJob job) {
    jobs.remove(job);
  }

  boolean isEmpty() {
    return jobs.isEmpty();
  }

  /** Returns the first job; the queue must not be empty. */
  QueuedJob head() {
    return jobs.iterator().next();
  }

  /** Tells whether its first job goes before that of another queue. */
  boolean before(TeamQueue other) {
    if (team.share != other.team.share) {
      return team.share < other.team.share;
    }
    return head().sequence < other.head().sequence;
  }
}
