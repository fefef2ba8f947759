package org.hickorymoor.domain.config;

/** The outcome of a publication. */
public sealed interface PublicationOutcome {

  /**
   * The publication took effect.
   *
   * @param version version of the new configuration
   * @param offset offset of its record
   */
  record Accepted(long version, long offset) implements PublicationOutcome {}

  /**
   * Another publication replaced the expected version first; this one will never take effect.
   *
   * @param winner the publication that was accepted instead
   */
  record Conflict(AcceptedPublication winner) implements PublicationOutcome {}

  /** Not known: the publication may still take effect, or is no longer in the history. */
  record Undecided() implements PublicationOutcome {}
}
