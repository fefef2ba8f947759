package org.hickorymoor.daemon.membership;

/** The condition of a host as seen by this host. */
public enum HostCondition {
  /** Not in the host list, and no status received. */
  UNKNOWN,

  /** In the host list, but no status received yet. */
  NEW,

  /** A status was received recently; for a worker: in the host list. */
  LIVE,

  /** A status was received earlier, but not recently; the host may come back. */
  PAUSED,

  /** Shutting down; it receives no new work. */
  LEAVING,

  /** No status for so long that the host is considered dead. */
  DEAD
}
