package org.hickorymoor.domain.job;

/** How urgently a job is wanted; earlier constants go first. */
public enum JobClass {
  /** Somebody waits for it now. */
  URGENT,

  /** Ordinary work. */
  NORMAL,

  /** Work that may wait, and be throttled, checkpointed or stopped for the sake of urgent work. */
  BATCH
}
