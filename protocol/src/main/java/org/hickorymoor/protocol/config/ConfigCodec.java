package org.hickorymoor.protocol.config;

import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.config.ConfigProblem;
import org.hickorymoor.domain.config.ConfigValidator;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.RecordReader;

/**
 * Parses configurations of all schema versions and serializes them in the newest one.
 *
 * <pre>{@code
 * ClusterConfig config = ConfigCodec.parse(json);
 * String canonical = ConfigCodec.toJson(config);
 * }</pre>
 *
 * <p>Both versions are supported: version 1 is flat, with weights as percentages and teams as a
 * list; version 2 is nested like {@link ClusterConfig}. The set of records that a version accepts
 * never changes, and a new field requires a new version, so that hosts of different releases agree
 * on the validity of a record. All methods are stateless and thread-safe.
 */
public final class ConfigCodec {

  /** Maximum size of a configuration, which leaves room for the other fields of a log record. */
  public static final int MAX_BYTES = 192 * 1024;

  static final int FLAT_VERSION = 1;
  static final int NESTED_VERSION = 2;

  private ConfigCodec() {}

  /**
   * Parses and validates a configuration of schema version 1 or 2.
   *
   * @param json the configuration
   * @return the configuration, with its version set to 0
   * @throws InvalidRecordException if the configuration is invalid; lists all problems
   */
  public static ClusterConfig parse(String json) throws InvalidRecordException {
    return RecordReader.read(json, MAX_BYTES, ConfigCodec::read);
  }

  /**
   * Serializes a configuration in schema version 2.
   *
   * @param config the configuration; its version is not written
   * @return the configuration without line breaks
   */
  public static String toJson(ClusterConfig config) {
    return ConfigWriter.write(config).toString();
  }

  private static ClusterConfig read(RecordReader reader) {
    int version = reader.schemaVersion(NESTED_VERSION, FLAT_VERSION);
    ClusterConfig config =
        version == FLAT_VERSION ? FlatConfigReader.read(reader) : NestedConfigReader.read(reader);
    for (ConfigProblem problem : ConfigValidator.validate(config)) {
      reader.reject(problem.path(), problem.expected(), problem.got());
    }
    return config;
  }
}
