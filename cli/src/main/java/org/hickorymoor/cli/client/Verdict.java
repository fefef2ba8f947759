package org.hickorymoor.cli.client;

/** What an attempt means for the question whether to make another. */
public enum Verdict {
  /** The reply answers the call. */
  FINAL,

  /** The call certainly had no effect, and may have one later. */
  NO_EFFECT,

  /** The call may have had an effect. */
  UNKNOWN
}
