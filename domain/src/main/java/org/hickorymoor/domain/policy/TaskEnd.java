package org.hickorymoor.domain.policy;

/**
 * The end of an attempt.
 *
 * @param outcome the outcome of the attempt
 * @param ranMs the run time in milliseconds
 */
public record TaskEnd(Outcome outcome, long ranMs) {

  /** Outcome of an attempt. */
  public enum Outcome {
    /** The attempt completed without an error. */
    SUCCEEDED,

    /** The attempt ended with an error. */
    FAILED,

    /** The attempt was stopped on command, or its lease expired. */
    STOPPED,

    /** The attempt never ran because its start did not take effect. */
    NOT_STARTED
  }
}
