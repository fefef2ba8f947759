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
 * Keeps in the platform's log what must outlast every host.
 *
 * <p>Every future fails with a {@link JournalException} and with nothing else. Safe for use by
 * several threads.
 */
public interface JobJournal {

  /**
   * Begins a term: from its record on, placements of earlier terms are void.
   *
   * @param termId names the term, unique
   * @return completes, after whatever outage, with every job that the log knows
   */
  CompletableFuture<Collection<LedgerJob>> beginTerm(String termId);

  /**
   * Tells whether the last term begun here is the one in force in the log, or still being begun.
   *
   * @return false if the term must be begun again
   */
  boolean inForce();

  /**
   * Claims the key of a job that must run at most once, for this failure domain.
   *
   * @param jobId the job
   * @param spec what it is
   * @return completes with the job id under which the domain holds the claim, which differs from
   *     {@code jobId} if it was claimed earlier
   */
  CompletableFuture<String> claim(String jobId, JobSpec spec);

  /**
   * Finds what the log knows of a job.
   *
   * @param jobId the job
   * @return what is known, or empty
   */
  Optional<LedgerJob> find(String jobId);

  /**
   * Records that a job was taken on.
   *
   * @param jobId the job
   * @param spec what it is
   * @return completes when the record stands in the log
   */
  CompletableFuture<Void> accepted(String jobId, JobSpec spec);

  /**
   * Records that an attempt is about to be started, and checks that no other host has taken over.
   *
   * @param task the attempt
   * @param workerTaskId the id that the worker gets
   * @param workerId where
   * @param workerIncarnation which life of the worker
   * @return completes when the start may be sent
   */
  CompletableFuture<Void> placed(
      TaskId task, String workerTaskId, String workerId, String workerIncarnation);

  /**
   * Records the end of an attempt.
   *
   * @param task the attempt
   * @param state done or failed for the task as a whole, accepted if it is to be tried again
   * @param workerId where it ran
   * @param end how it ended
   * @return completes when the record stands in the log
   */
  CompletableFuture<Void> ended(TaskId task, JobState state, String workerId, EndedTask end);

  /**
   * Records the last answer about a job.
   *
   * @param answer the answer, its outputs left out
   * @return completes when the record stands in the log
   */
  CompletableFuture<Void> finished(JobAnswer answer);
}
