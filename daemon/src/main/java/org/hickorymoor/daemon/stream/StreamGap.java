package org.hickorymoor.daemon.stream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Records that can no longer be read.
 *
 * @param fromOffset first offset missed
 * @param toOffset first offset that can be read again
 */
public record StreamGap(long fromOffset, long toOffset) {

  /** Checks the order. */
  public StreamGap {
    checkArgument(fromOffset < toOffset, "empty gap from %s to %s", fromOffset, toOffset);
  }
}
