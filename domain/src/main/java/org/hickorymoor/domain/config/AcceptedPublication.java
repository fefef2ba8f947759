package org.hickorymoor.domain.config;

import static java.util.Objects.requireNonNull;

/**
 * A publication that came into force.
 *
 * @param version the version that it made
 * @param offset its offset
 * @param id its id
 * @param who operator
 * @param atMs wall-clock time of the publish
 */
public record AcceptedPublication(long version, long offset, String id, String who, long atMs) {

  /** Rejects null components. */
  public AcceptedPublication {
    requireNonNull(id, "id");
    requireNonNull(who, "who");
  }
}
