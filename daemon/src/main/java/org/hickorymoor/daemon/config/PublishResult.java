package org.hickorymoor.daemon.config;

import java.util.List;
import org.hickorymoor.domain.config.AcceptedPublication;
import org.hickorymoor.protocol.json.Problem;
import org.jspecify.annotations.Nullable;

/** What became of a publish. */
public sealed interface PublishResult {

  /**
   * It came into force.
   *
   * @param version the version that it made
   * @param offset its offset
   */
  record Accepted(long version, long offset) implements PublishResult {}

  /**
   * Another version is in force than was expected; this publish never comes into force.
   *
   * @param currentVersion version in force
   * @param winner the publication that made the version in its place; null if that is too old to be
   *     remembered, and then an earlier publish under the same id may have made it
   */
  record Conflict(long currentVersion, @Nullable AcceptedPublication winner)
      implements PublishResult {}

  /**
   * The configuration has mistakes; nothing was appended.
   *
   * @param problems every mistake
   */
  record Invalid(List<Problem> problems) implements PublishResult {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Nothing was appended and nothing will be.
   *
   * @param reason why
   */
  record NotPublished(Reason reason) implements PublishResult {}

  /**
   * It may have come into force or may yet; ask again for its outcome by its id.
   *
   * @param publishId the id
   */
  record Unknown(String publishId) implements PublishResult {}

  /** Why nothing was appended. */
  enum Reason {
    /** The log could not be reached or refused the append. */
    LOG_UNAVAILABLE,

    /** This host does not know the newest configuration, or an older one than was expected. */
    HOST_BEHIND,

    /** A restore was asked for, and the state is not known to be lost. */
    STATE_NOT_LOST,

    /** The service does not run. */
    STOPPED
  }
}
