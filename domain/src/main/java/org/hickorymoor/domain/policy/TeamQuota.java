package org.hickorymoor.domain.policy;

import static com.google.common.base.Preconditions.checkArgument;

import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * What a team may use of one failure domain.
 *
 * @param weight share relative to other teams, above 0; a team of weight 2 is due twice as much as
 *     one of weight 1
 * @param limit most that its tasks may use together, or null for no limit
 */
public record TeamQuota(double weight, @Nullable Resources limit) {

  /** Weight 1 and no limit. */
  public static final TeamQuota DEFAULT = new TeamQuota(1, null);

  /** Checks the range. */
  public TeamQuota {
    checkArgument(weight > 0, "weight must be above 0, got %s", weight);
  }
}
