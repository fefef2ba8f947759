package org.hickorymoor.daemon.port;

import java.util.EnumSet;
import java.util.List;

/** The streams of keyed records that a cell of hosts shares through the platform's store. */
public enum LogPart {
  /** Jobs as accepted and cancellations, written by every host; the first of several lanes. */
  SUBMISSIONS_0,
  /** The second lane of submissions. */
  SUBMISSIONS_1,
  /** The third lane of submissions. */
  SUBMISSIONS_2,
  /** The fourth lane of submissions. */
  SUBMISSIONS_3,
  /** The fifth lane of submissions. */
  SUBMISSIONS_4,
  /** The sixth lane of submissions. */
  SUBMISSIONS_5,
  /** The seventh lane of submissions. */
  SUBMISSIONS_6,
  /** The eighth lane of submissions. */
  SUBMISSIONS_7,
  /** How far jobs are, written by the coordinator alone. */
  LEDGER,
  /** Which host coordinates, renewed by its heartbeats. */
  OWNERSHIP,
  /** Addresses of the hosts. */
  HOSTS,
  /** Configuration, written by operators. */
  CONFIG,
  /** What workers say of themselves. */
  WORKERS;

  private static final List<LogPart> LANES =
      List.copyOf(EnumSet.range(SUBMISSIONS_0, SUBMISSIONS_7));

  /**
   * Returns the lanes of submissions. The store appends to each on its own, so that hosts on
   * different lanes don't wait for each other when it is slow.
   */
  public static List<LogPart> submissionLanes() {
    return LANES;
  }
}
