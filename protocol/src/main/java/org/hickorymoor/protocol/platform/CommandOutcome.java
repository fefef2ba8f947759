package org.hickorymoor.protocol.platform;

/** Outcome of a command sent to a worker. */
public enum CommandOutcome {
  /** The command took effect. */
  DONE,

  /** The worker is not running the task. */
  NOT_FOUND,

  /** The command arrived after its deadline and had no effect. */
  EXPIRED
}
