package org.hickorymoor.protocol.json;

import static java.util.Objects.requireNonNull;

/**
 * One mistake in a record.
 *
 * @param path where it is, such as {@code tasks.demand.slots} or {@code teams[2]}; {@code $} is the
 *     whole record
 * @param expected what would have been right
 * @param got what was there
 */
public record Problem(String path, String expected, String got) {

  /** Path of the whole record. */
  public static final String ROOT_PATH = "$";

  /** Rejects absent parts. */
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
