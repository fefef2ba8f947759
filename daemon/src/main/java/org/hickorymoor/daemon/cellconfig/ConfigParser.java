package org.hickorymoor.daemon.cellconfig;

/**
 * Parses the record of a configuration.
 *
 * @param <C> type of the parsed configuration
 */
@FunctionalInterface
public interface ConfigParser<C extends CellConfig> {

  /**
   * Parses a record.
   *
   * @param content content of the record
   * @return the configuration
   * @throws InvalidConfigException if the record holds no usable configuration
   */
  C parse(byte[] content) throws InvalidConfigException;
}
