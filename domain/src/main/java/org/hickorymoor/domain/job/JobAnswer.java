package org.hickorymoor.domain.job;

import java.util.List;

/**
 * What a caller is told about a job.
 *
 * @param request name of the request that the answer belongs to
 * @param jobId the scheduler's name of the job; empty where none was made
 * @param state what is known of the job
 * @param reason why, where there is something to explain
 * @param retryAfterMs time after which to ask or try again; 0 where that makes no sense
 * @param tasks every task in order; empty where no job was made
 */
public record JobAnswer(
    RequestKey request,
    String jobId,
    JobState state,
    Reason reason,
    long retryAfterMs,
    List<TaskStatus> tasks) {

  /** Copies the list. */
  public JobAnswer {
    tasks = List.copyOf(tasks);
  }

  /**
   * Answers that a request was not run, with certainty.
   *
   * @param request name of the request
   * @param type why
   * @param message why, for people
   * @param retryAfterMs time after which to try again; 0 where that makes no sense
   * @return the answer
   */
  public static JobAnswer notRun(
      RequestKey request, ReasonType type, String message, long retryAfterMs) {
    return new JobAnswer(
        request, "", JobState.NOT_RUN, new Reason(type, message), retryAfterMs, List.of());
  }
}
