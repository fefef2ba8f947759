package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * Settings of one failure domain.
 *
 * @param region region of the domain
 * @param urgentHeadroomPercent share of its slots that batch jobs leave free for urgent ones
 */
public record DomainConfig(String region, int urgentHeadroomPercent) {

  /** Default of {@link #urgentHeadroomPercent}. */
  public static final int DEFAULT_URGENT_HEADROOM_PERCENT = 5;

  /** Maximum of {@link #urgentHeadroomPercent}. */
  public static final int MAX_URGENT_HEADROOM_PERCENT = 90;

  /** Checks the range. */
  public DomainConfig {
    requireNonNull(region, "region");
    checkArgument(
        urgentHeadroomPercent >= 0 && urgentHeadroomPercent <= MAX_URGENT_HEADROOM_PERCENT,
        "urgentHeadroomPercent must be from 0 to %s, got %s",
        MAX_URGENT_HEADROOM_PERCENT,
        urgentHeadroomPercent);
  }
}
