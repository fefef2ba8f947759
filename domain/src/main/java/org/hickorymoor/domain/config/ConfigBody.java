package org.hickorymoor.domain.config;

import java.util.List;

/** What a record carries as its configuration. */
public sealed interface ConfigBody {

  /**
   * A valid configuration.
   *
   * @param config the configuration; its version is not used
   */
  record Valid(ClusterConfig config) implements ConfigBody {}

  /**
   * A configuration with mistakes, which every host finds.
   *
   * @param problems the mistakes
   */
  record Invalid(List<ConfigProblem> problems) implements ConfigBody {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * A configuration of a schema version that this host does not know, but newer ones may.
   *
   * @param schemaVersion the version as written
   */
  record Unreadable(String schemaVersion) implements ConfigBody {}
}
