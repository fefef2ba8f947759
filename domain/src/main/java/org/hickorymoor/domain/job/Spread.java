package org.hickorymoor.domain.job;

/** Over what the tasks of a job are spread. */
public enum Spread {
  /** Tasks go wherever they fit best. */
  NONE,

  /** As few tasks as possible share a rack. */
  RACKS
}
