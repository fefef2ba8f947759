package org.hickorymoor.domain.job;

/** What is known of a job. */
public enum JobState {
  /** Taken on and not started. */
  ACCEPTED(false),

  /** At least one task has been started. */
  RUNNING(false),

  /** Every task succeeded; the result is whole. */
  DONE(true),

  /** It ran, and did not succeed. */
  FAILED(true),

  /** No task of it ran, and none ever will. */
  NOT_RUN(true),

  /** It may or may not have run; it becomes certain once the worker or the log can tell. */
  IN_DOUBT(false);

  private final boolean isFinal;

  JobState(boolean isFinal) {
    this.isFinal = isFinal;
  }

  /**
   * Tells whether the state can change no more.
   *
   * @return true for done, failed and not run
   */
  public boolean isFinal() {
    return isFinal;
  }
}
