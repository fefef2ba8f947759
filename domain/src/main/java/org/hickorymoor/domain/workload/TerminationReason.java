package org.hickorymoor.domain.workload;

/** Why a run of a task ended. */
public enum TerminationReason {
  /** It succeeded. */
  DONE,
  /** The task or its worker failed; counts as an attempt. */
  FAILED,
  /** It was stopped on request. */
  STOPPED,
  /** Its lease expired. */
  LAPSED,
  /** Another member of its gang ended. */
  BROKEN,
  /** The other members of its gang did not start in time. */
  ALONE
}
