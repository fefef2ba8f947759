package org.hickorymoor.domain.policy;

import static com.google.common.base.Preconditions.checkArgument;

import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Resource quota of a team in one failure domain.
 *
 * @param weight the share relative to other teams, above 0; a team of weight 2 is entitled to twice
 *     the share of a team of weight 1
 * @param limit the maximum total demand of its running tasks, or null for no limit
 */
public record TeamQuota(double weight, @Nullable Resources limit) {

  /** Weight 1 and no limit. */
  public static final TeamQuota DEFAULT = new TeamQuota(1, null);

  /** Validates the weight. */
  public TeamQuota {
    checkArgument(weight > 0, "weight must be above 0, got %s", weight);
  }
}
