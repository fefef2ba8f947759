package org.hickorymoor.daemon.cellconfig;

/** One parsed version of the cell's configuration. Implementations are immutable. */
public interface CellConfig {

  /** Returns the number of the version within the record. */
  long version();

  /** Returns what the version holds, for the log; contains no secrets. */
  String summary();
}
