package org.hickorymoor.domain.config;

/** What became of a publication. */
public sealed interface PublicationOutcome {

  /**
   * It came into force.
   *
   * @param version the version that it made
   * @param offset its offset
   */
  record Accepted(long version, long offset) implements PublicationOutcome {}

  /**
   * Another publication made the version first; this one never comes into force.
   *
   * @param winner the other one
   */
  record Conflict(AcceptedPublication winner) implements PublicationOutcome {}

  /** Not known: it may yet come into force, or is too old to be remembered. */
  record Undecided() implements PublicationOutcome {}
}
