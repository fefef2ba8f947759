package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.List;

/** One record of the log's configuration stream. */
public sealed interface ConfigRecord {

  /**
   * An operator's wish for a new configuration.
   *
   * @param id unique per publish, the same in every copy of the record
   * @param expectedVersion version that it replaces
   * @param who operator
   * @param atMs wall-clock time of the publish
   * @param body the new configuration
   */
  record Publication(String id, long expectedVersion, String who, long atMs, ConfigBody body)
      implements ConfigRecord {
    /** Rejects null components. */
    public Publication {
      requireNonNull(id, "id");
      requireNonNull(who, "who");
      requireNonNull(body, "body");
    }
  }

  /**
   * The state of a host that has applied every record up to an offset.
   *
   * @param asOfOffset the offset
   * @param version version in force
   * @param versionOffset offset of the record that brought it into force
   * @param history newest accepted publications, oldest first
   * @param atMs wall-clock time of the snapshot
   * @param body the configuration in force
   */
  record Snapshot(
      long asOfOffset,
      long version,
      long versionOffset,
      List<AcceptedPublication> history,
      long atMs,
      ConfigBody body)
      implements ConfigRecord {
    /** Checks the numbers and copies the list. */
    public Snapshot {
      checkArgument(version >= 0, "version must not be negative, got %s", version);
      checkArgument(
          versionOffset <= asOfOffset,
          "versionOffset must be at most asOfOffset %s, got %s",
          asOfOffset,
          versionOffset);
      history = List.copyOf(history);
      requireNonNull(body, "body");
    }
  }

  /**
   * A record that no host can read; it has no effect.
   *
   * @param message what is wrong with it
   */
  record Malformed(String message) implements ConfigRecord {}
}
