package org.hickorymoor.daemon.coordinator;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.ledger.LedgerJob;
import org.hickorymoor.protocol.platform.EndedTask;

/**
 * Records job state in the platform's log, where it survives the loss of any host.
 *
 * <p>Every future that fails does so with a {@link JournalException}. Thread-safe.
 */
public interface JobJournal {

  /**
   * Begins a term. Placements of earlier terms that follow its entry in the log are void.
   *
   * @param termId unique id of the term
   * @return completes with all jobs in the log; during an outage, only once the log is back
   */
  CompletableFuture<Collection<LedgerJob>> beginTerm(String termId);

  /**
   * Returns whether the term last begun on this host is the current one in the log, or is still
   * being recorded.
   *
   * @return false if the term must be begun again
   */
  boolean isTermCurrent();

  /**
   * Claims the key of a job that must run at most once, for this failure domain.
   *
   * @param jobId id of the job
   * @param spec the job's specification
   * @return completes with the job id under which the domain holds the claim, which differs from
   *     {@code jobId} if it was claimed earlier
   */
  CompletableFuture<String> claim(String jobId, JobSpec spec);

  /**
   * Returns a job as read from the log.
   *
   * @param jobId id of the job
   * @return the job, or empty if the log does not contain it
   */
  Optional<LedgerJob> find(String jobId);

  /**
   * Records that a job was accepted.
   *
   * @param jobId id of the job
   * @param spec the job's specification
   * @return completes when the entry is in the log
   */
  CompletableFuture<Void> recordAccepted(String jobId, JobSpec spec);

  /**
   * Records that an attempt is about to be started, and checks that no other host has taken over.
   *
   * @param task the attempt
   * @param workerTaskId task id sent to the worker
   * @param workerId worker that runs the attempt
   * @param workerIncarnation incarnation of the worker
   * @return completes when the start command may be sent
   */
  CompletableFuture<Void> recordPlaced(
      TaskId task, String workerTaskId, String workerId, String workerIncarnation);

  /**
   * Records the end of an attempt.
   *
   * @param task the attempt
   * @param state state of the task after the attempt: done, failed, or accepted if it will be
   *     retried
   * @param workerId worker that ran the attempt
   * @param end the end as reported by the worker
   * @return completes when the entry is in the log
   */
  CompletableFuture<Void> recordEnded(TaskId task, JobState state, String workerId, EndedTask end);

  /**
   * Records the final state of a job.
   *
   * @param answer the job's final status; task outputs are not recorded
   * @return completes when the entry is in the log
   */
  CompletableFuture<Void> recordFinished(JobAnswer answer);
}
