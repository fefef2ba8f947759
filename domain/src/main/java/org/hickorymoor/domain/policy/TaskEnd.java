package org.hickorymoor.domain.policy;

/**
 * How an attempt at a task ended.
 *
 * @param outcome what happened
 * @param ranMs how long it ran
 */
public record TaskEnd(Outcome outcome, long ranMs) {

  /** What happened to the attempt. */
  public enum Outcome {
    /** It ran to its end. */
    SUCCEEDED,

    /** It ended with an error. */
    FAILED,

    /** It was stopped on command, or its lease passed. */
    STOPPED,

    /** It never ran: the start did not take effect. */
    NOT_STARTED
  }
}
