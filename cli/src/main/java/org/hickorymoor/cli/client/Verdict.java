package org.hickorymoor.cli.client;

/** What an attempt means for the question whether to make another. */
public enum Verdict {
  /** The reply answers the call. */
  FINAL,

  /** The call certainly had no effect, and may have one later. */
  NO_EFFECT,

  /** This server knows nothing of what the call is about; one of another domain may. */
  ELSEWHERE,

  /** The call may have had an effect. */
  UNKNOWN
}
