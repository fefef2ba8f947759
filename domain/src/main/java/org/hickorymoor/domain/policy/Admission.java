package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;

/**
 * Result of an admission check.
 *
 * @param reason the reason of a rejection, or {@link Reason#NONE} if the job is admitted
 * @param retryAfterMs the delay before a retry; 0 if the job is admitted or a retry is pointless
 */
public record Admission(Reason reason, long retryAfterMs) {

  /** Admits the job. */
  public static final Admission ACCEPTED = new Admission(Reason.NONE, 0);

  /**
   * Returns whether the job is admitted.
   *
   * @return true if there is no reason for a rejection
   */
  public boolean accepted() {
    return reason.type() == ReasonType.NONE;
  }
}
