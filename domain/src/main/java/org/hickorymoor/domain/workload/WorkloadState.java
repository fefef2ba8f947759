package org.hickorymoor.domain.workload;

/** State of a job as reported to callers. */
public enum WorkloadState {
  /** Accepted; no task has started. */
  QUEUED,
  /** At least one task has started. */
  RUNNING,
  /** All tasks have succeeded. */
  COMPLETED,
  /** A task has used up its attempts. */
  FAILED,
  /** Cancelled by the caller. */
  CANCELLED;

  /** Returns whether the state is terminal. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
