package org.hickorymoor.protocol.platform;

/** What became of a command to a worker. */
public enum CommandOutcome {
  /** The command took effect. */
  DONE,

  /** The worker runs no such task. */
  NOT_FOUND,

  /** The command came after its time and had no effect. */
  EXPIRED
}
