package org.hickorymoor.domain.ledger;

import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.TaskId;

/** One entry of a failure domain's job stream. Every entry may be applied more than once. */
public sealed interface LedgerEntry {

  /**
   * A host takes the failure domain over. What earlier hosts place after it is void.
   *
   * @param hostId the host
   * @param termId names the term, unique
   */
  record Epoch(String hostId, String termId) implements LedgerEntry {}

  /**
   * A job is taken on.
   *
   * @param jobId the job
   * @param spec what it is
   * @param atMs wall-clock time
   */
  record Accepted(String jobId, JobSpec spec, long atMs) implements LedgerEntry {}

  /**
   * An attempt at a task of a job that must run at most once is about to be started.
   *
   * @param task the attempt
   * @param workerTaskId the id that the worker gets
   * @param workerId where
   * @param workerIncarnation which life of the worker
   * @param termId the term that places it
   */
  record Placed(
      TaskId task, String workerTaskId, String workerId, String workerIncarnation, String termId)
      implements LedgerEntry {}

  /**
   * An attempt has ended.
   *
   * @param task the attempt
   * @param state done or failed for the task as a whole, accepted if it is to be tried again
   * @param workerId where it ran
   * @param exitCode exit code
   * @param output whole result
   */
  record Ended(TaskId task, JobState state, String workerId, int exitCode, String output)
      implements LedgerEntry {}

  /**
   * A job has ended.
   *
   * @param jobId the job
   * @param state done, failed or not run
   * @param reason why
   * @param atMs wall-clock time
   */
  record Finished(String jobId, JobState state, Reason reason, long atMs) implements LedgerEntry {}
}
