package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.List;

/** A record of the configuration stream. */
public sealed interface ConfigRecord {

  /**
   * A new configuration published by an operator. It takes effect only if {@link ConfigState}
   * accepts it.
   *
   * @param id unique id of the publish, the same in every copy of the record
   * @param expectedVersion version that it replaces
   * @param who operator that published it
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
   * @param version version in effect
   * @param versionOffset offset of the record that put the version into effect
   * @param history most recent accepted publications, oldest first
   * @param atMs wall-clock time of the snapshot
   * @param body the configuration in effect
   */
  record Snapshot(
      long asOfOffset,
      long version,
      long versionOffset,
      List<AcceptedPublication> history,
      long atMs,
      ConfigBody body)
      implements ConfigRecord {
    /** Checks the version and offsets and copies the list. */
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
   * A record that no host can decode; it has no effect.
   *
   * @param message description of the error
   */
  record Malformed(String message) implements ConfigRecord {}
}
