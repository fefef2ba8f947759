package org.hickorymoor.domain.policy;

import java.util.Collection;
import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.TaskId;

/**
 * Scheduler of the tasks of one failure domain.
 *
 * <p>The caller reports all events, calls {@link #decide} and carries out the decisions. A
 * scheduler does no I/O and reads no clock; {@code nowMs} is a monotonic time in milliseconds.
 * Implementations need not be thread-safe; the caller holds a lock.
 */
public interface CellScheduler {

  /**
   * Applies new settings from the next decision on.
   *
   * @param settings the new settings
   */
  default void reconfigure(PolicySettings settings) {}

  /**
   * Checks whether a job would be admitted now.
   *
   * @param spec the job
   * @param nowMs the current time
   * @return an acceptance, or a rejection with a reason and a retry delay
   */
  Admission admit(JobSpec spec, long nowMs);

  /**
   * Queues tasks of a job.
   *
   * @param jobId the job
   * @param spec the specification of the job
   * @param tasks the attempts to start, one per task that is not running and has not ended
   * @param nowMs the current time
   */
  void submit(String jobId, JobSpec spec, Collection<TaskId> tasks, long nowMs);

  /**
   * Removes the queued tasks of a job, in constant time. Running tasks stay allocated until their
   * end is reported.
   *
   * @param jobId the job
   */
  void cancel(String jobId);

  /**
   * Reports that a worker is available, or that its profile changed.
   *
   * @param profile the declared properties of the worker
   * @param nowMs the current time
   */
  void workerAvailable(WorkerProfile profile, long nowMs);

  /**
   * Reports that a worker is unavailable. Its running tasks stay allocated until their end is
   * reported.
   *
   * @param workerId the worker
   */
  void workerLost(String workerId);

  /**
   * Reports a running task that this scheduler did not start, for example after a failover.
   *
   * @param task the attempt
   * @param spec the specification of its job
   * @param workerId the worker it runs on
   * @param nowMs the current time
   */
  void taskRecovered(TaskId task, JobSpec spec, String workerId, long nowMs);

  /**
   * Reports that an attempt has definitely ended and no longer uses its worker.
   *
   * @param task the attempt
   * @param end the end of the attempt
   * @param nowMs the current time
   */
  void taskEnded(TaskId task, TaskEnd end, long nowMs);

  /**
   * Reports the resource usage of a worker.
   *
   * @param workerId the worker
   * @param report the usage report
   * @param nowMs the current time
   */
  void usageReported(String workerId, UsageReport report, long nowMs);

  /**
   * Makes scheduling decisions for the current state.
   *
   * @param nowMs the current time
   * @return the decisions, in the order in which to carry them out
   */
  List<Decision> decide(long nowMs);

  /**
   * Explains to a user why a job is waiting.
   *
   * @param jobId the job
   * @param nowMs the current time
   * @return the explanation as sentences, most important first; empty if the job is not waiting
   */
  List<String> explain(String jobId, long nowMs);

  /**
   * Returns the estimated actual capacity of a worker.
   *
   * @param workerId the worker
   * @return the learned capacity, never above the declared one; {@link Resources#NONE} for an
   *     unknown worker
   */
  Resources learnedCapacity(String workerId);
}
