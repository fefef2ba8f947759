package org.hickorymoor.protocol.config;

import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.config.ConfigProblem;
import org.hickorymoor.domain.config.ConfigValidator;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.RecordReader;

/**
 * Reads configurations of every schema version, and writes the newest.
 *
 * <pre>{@code
 * ClusterConfig config = ConfigCodec.parse(json);
 * String canonical = ConfigCodec.toJson(config);
 * }</pre>
 *
 * <p>The versions live side by side: 1 is flat, with weights as percentages and teams as a list; 2
 * is nested like {@link ClusterConfig}. What a version accepts never changes; a new field means a
 * new version, so that hosts of different releases agree. All methods are pure.
 */
public final class ConfigCodec {

  /** Largest size of a configuration, which leaves room in a log record for what surrounds it. */
  public static final int MAX_BYTES = 192 * 1024;

  static final int FLAT_VERSION = 1;
  static final int NESTED_VERSION = 2;

  private ConfigCodec() {}

  /**
   * Reads and checks a configuration of schema version 1 or 2.
   *
   * @param json the configuration
   * @return the configuration with version 0
   * @throws InvalidRecordException if there is any mistake; it names all of them
   */
  public static ClusterConfig parse(String json) throws InvalidRecordException {
    return RecordReader.read(json, MAX_BYTES, ConfigCodec::read);
  }

  /**
   * Writes a configuration in schema version 2.
   *
   * @param config the configuration; its version is left out
   * @return the configuration on one line
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
