package org.hickorymoor.domain.policy;

import java.util.LinkedHashSet;

/** Waiting jobs of one team in one demand group, in order of arrival. */
final class TeamQueue {

  final TeamState team;
  final DemandGroup group;

  /** True while the queue is skipped because of the team's quota limit. */
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

  /** Returns whether this queue goes before another, by team share and then by arrival. */
  boolean before(TeamQueue other) {
    if (team.share != other.team.share) {
      return team.share < other.team.share;
    }
    return head().sequence < other.head().sequence;
  }
}
