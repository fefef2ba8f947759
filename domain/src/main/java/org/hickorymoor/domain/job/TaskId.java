package org.hickorymoor.domain.job;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one attempt at a task of a job.
 *
 * <p>Its text form is {@code jobId/index/attempt}; the task ids sent to workers start with it.
 *
 * @param jobId id of the job; must not contain a slash
 * @param index index of the task within the job, from 0
 * @param attempt number of the attempt, from 1
 */
public record TaskId(String jobId, int index, int attempt) {

  private static final int PARTS = 3;

  /** Checks the ranges and that the job id contains no slash. */
  public TaskId {
    checkArgument(jobId.indexOf('/') < 0, "jobId must not contain '/', got %s", jobId);
    checkArgument(index >= 0, "index must not be negative, got %s", index);
    checkArgument(attempt >= 1, "attempt must be at least 1, got %s", attempt);
  }

  /**
   * Parses the text form.
   *
   * @param text {@code jobId/index/attempt}
   * @return the task id
   * @throws IllegalArgumentException if the text does not have this form
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
