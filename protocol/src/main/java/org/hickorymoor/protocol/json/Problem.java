package org.hickorymoor.protocol.json;

import static java.util.Objects.requireNonNull;

/**
 * A validation error in a record.
 *
 * @param path location of the value, such as {@code tasks.demand.slots} or {@code teams[2]}; {@code
 *     $} is the whole record
 * @param expected description of the valid values
 * @param got the value that was found
 */
public record Problem(String path, String expected, String got) {

  /** Path of the whole record. */
  public static final String ROOT_PATH = "$";

  /** Rejects null components. */
  public Problem {
    requireNonNull(path, "path");
    requireNonNull(expected, "expected");
    requireNonNull(got, "got");
  }

  @Override
  public String toString() {
    return path + ": expected " + expected + ", got " + got;
  }
}
