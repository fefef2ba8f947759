package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;

import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * What a team may use of each failure domain.
 *
 * @param weight share of the dominant resource relative to other teams, above 0
 * @param quota most that its tasks may use together in one failure domain, or null for no limit
 * @param homeDomain failure domain where its request keys are kept, or null for that of the entry
 *     host
 */
public record TeamConfig(double weight, @Nullable Resources quota, @Nullable String homeDomain) {

  /** Weight 1, no quota and no home. */
  public static final TeamConfig DEFAULT = new TeamConfig(1, null, null);

  /** Smallest weight. */
  public static final double MIN_WEIGHT = 0.001;

  /** Largest weight. */
  public static final double MAX_WEIGHT = 1000;

  /** Checks the range. */
  public TeamConfig {
    checkArgument(
        weight >= MIN_WEIGHT && weight <= MAX_WEIGHT,
        "weight must be from %s to %s, got %s",
        MIN_WEIGHT,
        MAX_WEIGHT,
        weight);
  }
}
