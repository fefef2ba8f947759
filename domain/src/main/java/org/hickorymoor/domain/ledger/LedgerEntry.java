package org.hickorymoor.domain.ledger;

import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.TaskId;

/** An entry of a failure domain's job stream. Applying an entry more than once is harmless. */
public sealed interface LedgerEntry {

  /**
   * A host has taken over the failure domain. Later placements by earlier terms are void.
   *
   * @param hostId id of the host
   * @param termId unique id of the term
   */
  record TermStarted(String hostId, String termId) implements LedgerEntry {}

  /**
   * A job was accepted.
   *
   * @param jobId id of the job
   * @param spec the job's specification
   * @param atMs wall-clock time in ms since 1970
   */
  record Accepted(String jobId, JobSpec spec, long atMs) implements LedgerEntry {}

  /**
   * An attempt at a task of a job that must run at most once is about to be started.
   *
   * @param task the attempt
   * @param workerTaskId task id sent to the worker
   * @param workerId worker that runs the attempt
   * @param workerIncarnation incarnation of the worker
   * @param termId id of the term that places it
   */
  record Placed(
      TaskId task, String workerTaskId, String workerId, String workerIncarnation, String termId)
      implements LedgerEntry {}

  /**
   * An attempt has ended.
   *
   * @param task the attempt
   * @param state state of the task after the attempt: done, failed, or accepted if it will be
   *     retried
   * @param workerId worker that ran the attempt
   * @param exitCode exit code
   * @param output complete output
   */
  record Ended(TaskId task, JobState state, String workerId, int exitCode, String output)
      implements LedgerEntry {}

  /**
   * A job has ended.
   *
   * @param jobId id of the job
   * @param state final state: done, failed or not run
   * @param reason reason for the state
   * @param atMs wall-clock time in ms since 1970
   */
  record Finished(String jobId, JobState state, Reason reason, long atMs) implements LedgerEntry {}
}
