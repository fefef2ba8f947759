package org.hickorymoor.protocol.platform;

/** How a task ended. */
public enum EndOutcome {
  /** It ran to its end. */
  SUCCEEDED,

  /** It ended with an error. */
  FAILED,

  /** It was stopped on command. */
  STOPPED,

  /** Its lease passed. */
  LAPSED
}
