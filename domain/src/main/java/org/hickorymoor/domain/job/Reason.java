package org.hickorymoor.domain.job;

import static java.util.Objects.requireNonNull;

/**
 * Reason for the state of a job or the rejection of a request.
 *
 * @param type reason type, for programs
 * @param message explanation for people: what was expected, what happened and how to correct it
 */
public record Reason(ReasonType type, String message) {

  /** No reason. */
  public static final Reason NONE = new Reason(ReasonType.NONE, "");

  /** Checks that no component is null. */
  public Reason {
    requireNonNull(type, "type");
    requireNonNull(message, "message");
  }
}
