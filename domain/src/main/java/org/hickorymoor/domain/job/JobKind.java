package org.hickorymoor.domain.job;

/** How the tasks of a job are started and kept. */
public enum JobKind {
  /** Every task is kept running until the job is cancelled. */
  SERVICE,

  /** Tasks run to their end, each on its own. */
  BATCH,

  /** All tasks start together or none does. */
  ALL_AT_ONCE
}
