package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;

/**
 * Whether a job is taken on.
 *
 * @param reason none if it is; else why not
 * @param retryAfterMs when to try again; 0 if it is taken on or never will be
 */
public record Admission(Reason reason, long retryAfterMs) {

  /** The job is taken on. */
  public static final Admission ACCEPTED = new Admission(Reason.NONE, 0);

  /**
   * Tells whether the job is taken on.
   *
   * @return true if there is no reason against it
   */
  public boolean accepted() {
    return reason.type() == ReasonType.NONE;
  }
}
