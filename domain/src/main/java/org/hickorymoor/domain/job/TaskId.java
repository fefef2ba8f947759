package org.hickorymoor.domain.job;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Names one attempt at one task of a job.
 *
 * <p>Its text, {@code jobId/index/attempt}, is the task id that workers know.
 *
 * @param jobId the job, without any slash
 * @param index number of the task within the job, from 0
 * @param attempt number of the attempt, from 1
 */
public record TaskId(String jobId, int index, int attempt) {

  private static final int PARTS = 3;

  /** Checks the ranges. */
  public TaskId {
    checkArgument(jobId.indexOf('/') < 0, "jobId must not contain '/', got %s", jobId);
    checkArgument(index >= 0, "index must not be negative, got %s", index);
    checkArgument(attempt >= 1, "attempt must be at least 1, got %s", attempt);
  }

  /**
   * Reads the text form.
   *
   * @param text {@code jobId/index/attempt}
   * @return the task id
   * @throws IllegalArgumentException if the text has another form
   */
  public static TaskId parse(String text) {
    String[] parts = text.split("/", -1);
    checkArgument(parts.length == PARTS, "expected jobId/index/attempt, got %s", text);
    return new TaskId(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
  }

  @Override
  public String toString() {
    return jobId + "/" + index + "/" + attempt;
  }
}
