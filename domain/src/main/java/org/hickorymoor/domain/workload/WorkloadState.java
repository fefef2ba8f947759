package org.hickorymoor.domain.workload;

/** How far a job is, as callers see it. */
public enum WorkloadState {
  /** Accepted; no task has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** Every task has succeeded. */
  COMPLETED,
  /** A task has used up its attempts. */
  FAILED,
  /** The caller cancelled it. */
  CANCELLED;

  /** Returns whether the job can't change any more. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
