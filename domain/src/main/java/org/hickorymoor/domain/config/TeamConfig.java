package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;

import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one team, which apply in each failure domain.
 *
 * @param weight share of the dominant resource relative to other teams, above 0
 * @param quota maximum resources that its tasks may use together in one failure domain, or null for
 *     no limit
 * @param homeDomain failure domain that stores its request keys, or null for the domain of the
 *     entry host
 */
public record TeamConfig(double weight, @Nullable Resources quota, @Nullable String homeDomain) {

  /** Weight 1, no quota and no home domain. */
  public static final TeamConfig DEFAULT = new TeamConfig(1, null, null);

  /** Minimum weight. */
  public static final double MIN_WEIGHT = 0.001;

  /** Maximum weight. */
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
