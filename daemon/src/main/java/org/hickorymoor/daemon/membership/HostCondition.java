package org.hickorymoor.daemon.membership;

/** How a host is, as far as this host can tell. */
public enum HostCondition {
  /** Neither listed nor heard. */
  UNKNOWN,

  /** Listed, and not heard yet. */
  NEW,

  /** Heard lately; for a worker, listed. */
  LIVE,

  /** Heard before, but not lately; it may come back. */
  PAUSED,

  /** About to go; it gets nothing new. */
  LEAVING,

  /** Not heard for so long that it is taken for dead. */
  DEAD
}
