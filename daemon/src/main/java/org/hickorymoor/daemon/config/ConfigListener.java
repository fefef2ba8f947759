package org.hickorymoor.daemon.config;

/** Is told each configuration that comes into force, or the newest of several. */
@FunctionalInterface
public interface ConfigListener {

  /**
   * Takes a configuration. Calls come one at a time, with rising versions; they must not block.
   *
   * @param view the configuration in force
   */
  void onConfig(ConfigView view);
}
