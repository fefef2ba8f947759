package org.hickorymoor.domain.job;

/** Why a job is in its state, or why a request was refused. */
public enum ReasonType {
  /** Nothing to explain. */
  NONE,

  /** The caller cancelled it. */
  CANCELLED,

  /** It did not start within the time that the caller set. */
  START_DEADLINE_PASSED,

  /** The caller has gone and the job was only of use to it. */
  CALLER_GONE,

  /** Too much is queued; the answer carries a time to retry after. */
  OVERLOADED,

  /** The log is out, and without it running at most once can't be promised. */
  LOG_UNAVAILABLE,

  /** No host of the failure domain has authority over its workers at present. */
  NO_COORDINATOR,

  /** The failure domain that the request belongs to can't be reached. */
  DOMAIN_UNREACHABLE,

  /** No worker could ever hold one of its tasks. */
  NEVER_FITS,

  /** Its tasks failed on several sound workers. */
  FAILED_REPEATEDLY,

  /** A task failed and the job must not be repeated. */
  TASK_FAILED,

  /** A task's lease passed, and the job must not be repeated. */
  LEASE_LAPSED,

  /** The worker it was given to can't be asked at present. */
  WORKER_UNREACHABLE,

  /** The worker it was given to has restarted and lost its memory of it. */
  WORKER_RESTARTED,

  /** The same key came earlier with another record. */
  KEY_REUSED,

  /** The key is older than the time for which keys are remembered. */
  KEY_TOO_OLD
}
