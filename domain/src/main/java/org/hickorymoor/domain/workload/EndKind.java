package org.hickorymoor.domain.workload;

/** How a run of a task ended. */
public enum EndKind {
  /** It succeeded. */
  DONE,
  /** It failed, by its own fault or that of its worker; counts as an attempt. */
  FAILED,
  /** It was told to stop. */
  STOPPED,
  /** Its lease lapsed. */
  LAPSED,
  /** Another member of its gang ended. */
  BROKEN,
  /** The other members of its gang did not arrive in time. */
  ALONE
}
