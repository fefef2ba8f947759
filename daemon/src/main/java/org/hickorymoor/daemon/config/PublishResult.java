package org.hickorymoor.daemon.config;

import java.util.List;
import org.hickorymoor.domain.config.AcceptedPublication;
import org.hickorymoor.protocol.json.Problem;
import org.jspecify.annotations.Nullable;

/** The result of a publish. */
public sealed interface PublishResult {

  /**
   * The configuration took effect.
   *
   * @param version version of the new configuration
   * @param offset offset of its record
   */
  record Accepted(long version, long offset) implements PublishResult {}

  /**
   * Another version than the expected one is in effect; this publish will never take effect.
   *
   * @param currentVersion version in effect
   * @param winner the publication that created the version instead; null if it is no longer in the
   *     history, in which case it may be an earlier publish under the same id
   */
  record Conflict(long currentVersion, @Nullable AcceptedPublication winner)
      implements PublishResult {}

  /**
   * The configuration is invalid; nothing was appended.
   *
   * @param problems all problems found
   */
  record Invalid(List<Problem> problems) implements PublishResult {
    /** Makes a defensive copy of the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Nothing was appended and nothing will be.
   *
   * @param reason why the configuration was not published
   */
  record NotPublished(Reason reason) implements PublishResult {}

  /**
   * The publish may have taken effect or may still do so; its id can be used to query the outcome
   * later.
   *
   * @param publishId id of the publish
   */
  record Unknown(String publishId) implements PublishResult {}

  /** Why nothing was appended. */
  enum Reason {
    /** The log was unreachable or rejected the append. */
    LOG_UNAVAILABLE,

    /** This host has not caught up yet, or its version is lower than the expected one. */
    HOST_BEHIND,

    /** A restore was requested, but the state is not known to be lost. */
    STATE_NOT_LOST,

    /** The service is not running. */
    STOPPED
  }
}
