package org.hickorymoor.domain.config;

import java.util.List;

/** The decoded configuration in a record, or why it could not be decoded. */
public sealed interface ConfigBody {

  /**
   * A valid configuration.
   *
   * @param config the configuration; its version is ignored
   */
  record Valid(ClusterConfig config) implements ConfigBody {}

  /**
   * An invalid configuration. Every host finds the same problems.
   *
   * @param problems the problems
   */
  record Invalid(List<ConfigProblem> problems) implements ConfigBody {
    /** Makes a defensive copy of the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * A configuration with a schema version that this host does not support, but a newer one may.
   *
   * @param schemaVersion the schema version as written in the record
   */
  record Unreadable(String schemaVersion) implements ConfigBody {}
}
