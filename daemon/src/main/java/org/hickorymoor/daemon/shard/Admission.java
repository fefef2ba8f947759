package org.hickorymoor.daemon.shard;

/**
 * Whether a job is accepted.
 *
 * @param admitted whether it is accepted
 * @param retryAfterMs time after which a refused job can be submitted again; 0 if it is accepted
 * @param reason why it is refused; empty if it is accepted
 */
public record Admission(boolean admitted, long retryAfterMs, String reason) {

  /** The job is accepted. */
  public static final Admission ADMITTED = new Admission(true, 0, "");
}
