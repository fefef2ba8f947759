package org.hickorymoor.domain.config;

import static java.util.Objects.requireNonNull;

/**
 * A publication that took effect.
 *
 * @param version version of the configuration that it created
 * @param offset offset of its record in the stream
 * @param id id of the publish
 * @param who operator that published it
 * @param atMs wall-clock time of the publish
 */
public record AcceptedPublication(long version, long offset, String id, String who, long atMs) {

  /** Rejects null components. */
  public AcceptedPublication {
    requireNonNull(id, "id");
    requireNonNull(who, "who");
  }
}
