package org.hickorymoor.cli.client;

/** Outcome of an attempt to make a call, which determines whether the call may be retried. */
public enum CallOutcome {
  /** The response is the answer to the call. */
  FINAL,

  /** The call certainly had no effect, but may succeed if retried. */
  NO_EFFECT,

  /** The subject of the call is unknown to this server; a server of another domain may know it. */
  NOT_KNOWN_TO_SERVER,

  /** The call may have had an effect. */
  UNKNOWN
}
