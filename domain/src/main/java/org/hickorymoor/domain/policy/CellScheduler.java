package org.hickorymoor.domain.policy;

import java.util.Collection;
import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.TaskId;

/**
 * Decides what runs where in one failure domain.
 *
 * <p>The caller tells it everything that happens, asks it to {@link #decide}, and carries out what
 * it decides. It does no I/O and reads no clock; {@code nowMs} is a monotonic time that never goes
 * back. Implementations need not be safe for use by several threads: the caller holds a lock.
 */
public interface CellScheduler {

  /**
   * Takes other settings over, from the next decision on.
   *
   * @param settings the settings
   */
  default void reconfigure(PolicySettings settings) {}

  /**
   * Says whether a job would be taken on now.
   *
   * @param spec the job
   * @param nowMs time now
   * @return accepted, or a typed refusal with a time to retry after
   */
  Admission admit(JobSpec spec, long nowMs);

  /**
   * Queues tasks of a job.
   *
   * @param jobId the job
   * @param spec what it is
   * @param tasks the attempts to start, one per task that neither runs nor has ended
   * @param nowMs time now
   */
  void submit(String jobId, JobSpec spec, Collection<TaskId> tasks, long nowMs);

  /**
   * Forgets the queued tasks of a job, in constant time. Tasks that run stay counted until their
   * end is told.
   *
   * @param jobId the job
   */
  void cancel(String jobId);

  /**
   * Tells that a worker can be given tasks, or that its profile changed.
   *
   * @param profile what is declared of it
   * @param nowMs time now
   */
  void workerAvailable(WorkerProfile profile, long nowMs);

  /**
   * Tells that a worker can't be given tasks. What runs on it stays counted until its end is told.
   *
   * @param workerId the worker
   */
  void workerLost(String workerId);

  /**
   * Tells of a task that runs without having been decided here, as after a takeover.
   *
   * @param task the attempt
   * @param spec its job
   * @param workerId where it runs
   * @param nowMs time now
   */
  void taskRecovered(TaskId task, JobSpec spec, String workerId, long nowMs);

  /**
   * Tells that an attempt has ended for certain and its worker is free of it.
   *
   * @param task the attempt
   * @param end how it ended
   * @param nowMs time now
   */
  void taskEnded(TaskId task, TaskEnd end, long nowMs);

  /**
   * Tells what a worker reported.
   *
   * @param workerId the worker
   * @param report the figures
   * @param nowMs time now
   */
  void usageReported(String workerId, UsageReport report, long nowMs);

  /**
   * Decides what to do now.
   *
   * @param nowMs time now
   * @return what to do, in order
   */
  List<Decision> decide(long nowMs);

  /**
   * Says why a job waits, for people.
   *
   * @param jobId the job
   * @param nowMs time now
   * @return sentences, most important first; empty if it does not wait
   */
  List<String> explain(String jobId, long nowMs);

  /**
   * Returns what a worker is thought to hold at present, after what was learned.
   *
   * @param workerId the worker
   * @return the learned capacity, never above the declared one, or none for an unknown worker
   */
  Resources learnedCapacity(String workerId);
}
