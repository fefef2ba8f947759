package org.hickorymoor.cli.client;

/**
 * Result of an attempt to make a call.
 *
 * @param outcome outcome of the attempt
 * @param retryAfterMs delay that the server requests before a retry, or 0 if none
 */
public record AttemptResult(CallOutcome outcome, long retryAfterMs) {

  /** The response is the answer to the call. */
  public static final AttemptResult FINAL = new AttemptResult(CallOutcome.FINAL, 0);
}
