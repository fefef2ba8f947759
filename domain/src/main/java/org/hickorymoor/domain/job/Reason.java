package org.hickorymoor.domain.job;

import static java.util.Objects.requireNonNull;

/**
 * A typed reason with a sentence for people.
 *
 * @param type for programs
 * @param message for people: what was expected, what came, and how to mend it
 */
public record Reason(ReasonType type, String message) {

  /** No reason. */
  public static final Reason NONE = new Reason(ReasonType.NONE, "");

  /** Rejects absent parts. */
  public Reason {
    requireNonNull(type, "type");
    requireNonNull(message, "message");
  }
}
