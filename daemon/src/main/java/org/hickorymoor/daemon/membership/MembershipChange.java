package org.hickorymoor.daemon.membership;

import static java.util.Objects.requireNonNull;

import org.hickorymoor.protocol.platform.HostEntry;

/**
 * A change of a host's condition.
 *
 * @param host the host
 * @param before previous condition
 * @param after new condition
 */
public record MembershipChange(HostEntry host, HostCondition before, HostCondition after) {

  /** Rejects null components. */
  public MembershipChange {
    requireNonNull(host, "host");
    requireNonNull(before, "before");
    requireNonNull(after, "after");
  }
}
