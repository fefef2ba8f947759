package org.hickorymoor.domain.job;

/** Urgency of a job, in order of precedence. */
public enum JobClass {
  /** Work whose result is awaited now. */
  URGENT,

  /** Ordinary work. */
  NORMAL,

  /** Work that may be delayed, throttled, checkpointed or stopped in favour of urgent work. */
  BATCH
}
