package org.hickorymoor.domain.policy;

import java.util.LinkedHashSet;
import java.util.Set;
import org.hickorymoor.domain.Resources;

/** Usage, quota and queues of one team. */
final class TeamState {

  final String team;
  final Set<TeamQueue> queues = new LinkedHashSet<>();
  TeamQuota quota;

  /** Declared demand of all allocated attempts. */
  Resources used = Resources.NONE;

  /** Dominant share of the total capacity divided by the quota weight; the lowest goes first. */
  double share;

  /** Number of waiting tasks. */
  int waitingTasks;

  TeamState(String team, TeamQuota quota) {
    this.team = team;
    this.quota = quota;
  }

  boolean withinQuota(Resources demand) {
    return quota.limit() == null || used.plus(demand).fitsIn(quota.limit());
  }

  /** Returns whether the quota limit would allow a demand if the team used nothing. */
  boolean fitsQuotaLimit(Resources demand) {
    return quota.limit() == null || demand.fitsIn(quota.limit());
  }

  boolean idle() {
    return queues.isEmpty() && used.equals(Resources.NONE);
  }
}
