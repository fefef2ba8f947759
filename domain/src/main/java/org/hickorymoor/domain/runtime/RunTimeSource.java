package org.hickorymoor.domain.runtime;

/** Where the expected run times that decisions rest on come from. */
public enum RunTimeSource {
  /** Learned from finished runs where that has proven better than the callers' estimates. */
  LEARNED,
  /** The callers' estimates only. */
  DECLARED
}
