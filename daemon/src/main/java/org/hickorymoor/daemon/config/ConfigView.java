package org.hickorymoor.daemon.config;

import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.config.ClusterConfig;

/**
 * The configuration in force on this host.
 *
 * @param config the configuration with its version
 * @param offset offset of the record that brought it into force, or -1 if none was ever published
 */
public record ConfigView(ClusterConfig config, long offset) {
  /** Rejects an absent configuration. */
  public ConfigView {
    requireNonNull(config, "config");
  }
}
