package org.hickorymoor.daemon.config;

import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.config.ClusterConfig;

/**
 * The configuration in effect on this host.
 *
 * @param config the configuration, including its version
 * @param offset offset of the record that put it into effect, or -1 if none was ever published
 */
public record ConfigView(ClusterConfig config, long offset) {
  /** Requires a configuration. */
  public ConfigView {
    requireNonNull(config, "config");
  }
}
