package org.hickorymoor.daemon.config;

/**
 * Receives the configurations that take effect. Of several that take effect in short succession, it
 * may receive the newest only.
 */
@FunctionalInterface
public interface ConfigListener {

  /**
   * Called with a new configuration. Calls are serialized, with increasing versions. Must not
   * block.
   *
   * @param view the configuration in effect
   */
  void onConfig(ConfigView view);
}
