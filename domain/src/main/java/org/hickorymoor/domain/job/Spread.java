package org.hickorymoor.domain.job;

/** How the tasks of a job are spread over the workers. */
public enum Spread {
  /** Tasks are placed without regard to each other. */
  NONE,

  /** As few tasks as possible are placed on the same rack. */
  RACKS
}
