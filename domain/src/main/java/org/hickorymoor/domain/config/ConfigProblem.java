package org.hickorymoor.domain.config;

import static java.util.Objects.requireNonNull;

/**
 * One mistake in a configuration.
 *
 * @param path where it is, such as {@code teams.press.homeDomain}
 * @param expected what would have been right
 * @param got what was there
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
