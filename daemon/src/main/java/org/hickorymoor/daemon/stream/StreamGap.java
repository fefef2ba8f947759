package org.hickorymoor.daemon.stream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Range of records that were skipped, such as those dropped by retention.
 *
 * @param fromOffset first skipped offset
 * @param toOffset offset after the last skipped one
 */
public record StreamGap(long fromOffset, long toOffset) {

  /** Checks the order. */
  public StreamGap {
    checkArgument(
        fromOffset < toOffset,
        "fromOffset must be less than toOffset, got %s and %s",
        fromOffset,
        toOffset);
  }
}
