package org.hickorymoor.cli.client;

/**
 * What a reply means for its call.
 *
 * @param verdict what the reply says of the call's effect
 * @param retryAfterMs time after which the server wants to be asked again; 0 if it named none
 */
public record Assessment(Verdict verdict, long retryAfterMs) {

  /** The reply answers the call. */
  public static final Assessment FINAL = new Assessment(Verdict.FINAL, 0);
}
