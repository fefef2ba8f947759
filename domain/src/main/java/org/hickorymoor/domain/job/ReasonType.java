package org.hickorymoor.domain.job;

/** Type of the reason for a job's state or for the rejection of a request. */
public enum ReasonType {
  /** There is no reason to report. */
  NONE,

  /** The job was cancelled. */
  CANCELLED,

  /** The job did not start within the time set by the caller. */
  START_DEADLINE_PASSED,

  /** The caller has disconnected and the job was of use only to it. */
  CALLER_GONE,

  /** The queue is full; the reply says after what time to retry. */
  OVERLOADED,

  /** The log is unavailable; at-most-once execution or a recorded result can't be guaranteed. */
  LOG_UNAVAILABLE,

  /** The failure domain has no coordinator at present. */
  NO_COORDINATOR,

  /** The failure domain of the request is unreachable. */
  DOMAIN_UNREACHABLE,

  /** A task does not fit on any worker, not even an idle one. */
  NEVER_FITS,

  /** Tasks of the job failed on several healthy workers. */
  FAILED_REPEATEDLY,

  /** A task failed and the job must run at most once. */
  TASK_FAILED,

  /** A task's lease expired and the job must run at most once. */
  LEASE_LAPSED,

  /** The worker of a task is unreachable at present. */
  WORKER_UNREACHABLE,

  /** The worker of a task has restarted and no longer knows the task. */
  WORKER_RESTARTED,

  /** The key was used with a different record, or another domain or an ended job holds it. */
  KEY_REUSED,

  /** The key is older than the deduplication window. */
  KEY_TOO_OLD
}
