package org.hickorymoor.domain.job;

/** How the tasks of a job are started and supervised. */
public enum JobKind {
  /** Tasks are restarted whenever they end, until the job is cancelled. */
  SERVICE,

  /** Tasks run to completion independently of each other. */
  BATCH,

  /** Gang scheduling: either all tasks start together or none does. */
  ALL_AT_ONCE
}
