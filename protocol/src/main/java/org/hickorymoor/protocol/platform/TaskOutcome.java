package org.hickorymoor.protocol.platform;

/** How a task ended. */
public enum TaskOutcome {
  /** The task completed successfully. */
  SUCCEEDED,

  /** The task ended with an error. */
  FAILED,

  /** The task was stopped by a command. */
  STOPPED,

  /** The lease of the task expired. */
  LAPSED
}
