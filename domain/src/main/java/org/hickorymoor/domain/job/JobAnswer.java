package org.hickorymoor.domain.job;

import java.util.List;

/**
 * The status of a job, as returned to callers.
 *
 * @param request key of the request
 * @param jobId id that the scheduler assigned to the job; empty if no job was created
 * @param state state of the job
 * @param reason reason for the state; {@link Reason#NONE} if there is nothing to explain
 * @param retryAfterMs time after which to query or retry; 0 if that is not useful
 * @param tasks status of every task in index order; empty if no job was created
 */
public record JobAnswer(
    RequestKey request,
    String jobId,
    JobState state,
    Reason reason,
    long retryAfterMs,
    List<TaskStatus> tasks) {

  /** Makes an unmodifiable copy of the task list. */
  public JobAnswer {
    tasks = List.copyOf(tasks);
  }

  /**
   * Returns the status of a request that certainly was not run.
   *
   * @param request key of the request
   * @param type reason type, for programs
   * @param message reason, for people
   * @param retryAfterMs time after which to retry; 0 if that is not useful
   * @return the status
   */
  public static JobAnswer notRun(
      RequestKey request, ReasonType type, String message, long retryAfterMs) {
    return new JobAnswer(
        request, "", JobState.NOT_RUN, new Reason(type, message), retryAfterMs, List.of());
  }
}
