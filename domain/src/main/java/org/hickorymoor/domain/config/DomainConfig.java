package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * Settings of one failure domain.
 *
 * @param region region that it lies in
 * @param urgentHeadroomPercent share of its slots that batch work leaves free
 */
public record DomainConfig(String region, int urgentHeadroomPercent) {

  /** Headroom of a domain that sets none. */
  public static final int DEFAULT_URGENT_HEADROOM_PERCENT = 5;

  /** Largest headroom. */
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
