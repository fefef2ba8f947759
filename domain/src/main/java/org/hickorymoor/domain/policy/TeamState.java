package org.hickorymoor.domain.policy;

import java.util.LinkedHashSet;
import java.util.Set;
import org.hickorymoor.domain.Resources;

/** What one team uses and where its jobs wait. */
final class TeamState {

  final String team;
  final Set<TeamQueue> queues = new LinkedHashSet<>();
  TeamQuota quota;

  /** Declared size of all that counts as in use. */
  Resources used = Resources.NONE;

  /** Dominant share of the cell over the weight of the quota; the lowest goes first. */
  double share;

  /** Number of tasks that wait. */
  int waitingTasks;

  TeamState(String team, TeamQuota quota) {
    this.team = team;
    this.quota = quota;
  }

  boolean withinQuota(Resources demand) {
    return quota.limit() == null || used.plus(demand).fitsIn(quota.limit());
  }

  /** Tells whether its limit would allow a demand if nothing of it ran. */
  boolean fitsQuotaLimit(Resources demand) {
    return quota.limit() == null || demand.fitsIn(quota.limit());
  }

  boolean idle() {
    return queues.isEmpty() && used.equals(Resources.NONE);
  }
}
