package org.hickorymoor.domain.config;

import static java.util.Objects.requireNonNull;

/**
 * A problem found in a configuration.
 *
 * @param path path of the invalid field, such as {@code teams.press.homeDomain}
 * @param expected description of the valid values
 * @param got the actual value
 */
public record ConfigProblem(String path, String expected, String got) {

  /** Rejects null components. */
  public ConfigProblem {
    requireNonNull(path, "path");
    requireNonNull(expected, "expected");
    requireNonNull(got, "got");
  }

  @Override
  public String toString() {
    return path + ": expected " + expected + ", got " + got;
  }
}
