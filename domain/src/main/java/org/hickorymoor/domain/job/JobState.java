package org.hickorymoor.domain.job;

/** State of a job or task. */
public enum JobState {
  /** Accepted and not started; of a task, also waiting for another attempt. */
  ACCEPTED(false),

  /** Started and not ended. */
  RUNNING(false),

  /** Every task succeeded and the output is complete. */
  DONE(true),

  /** Ended without success after it ran or may have run. */
  FAILED(true),

  /** Never ran and never will. */
  NOT_RUN(true),

  /** May or may not have run; resolved once the worker or the log can be read. */
  IN_DOUBT(false);

  private final boolean isFinal;

  JobState(boolean isFinal) {
    this.isFinal = isFinal;
  }

  /**
   * Returns whether the state is final.
   *
   * @return true for done, failed and not run
   */
  public boolean isFinal() {
    return isFinal;
  }
}
