package org.hickorymoor.daemon.port;

import java.util.EnumSet;
import java.util.List;

/** Streams of keyed records that the hosts of a cell share through the platform's store. */
public enum KeyedStream {
  /** Accepted jobs and cancellations, written by every host; first of several partitions. */
  SUBMISSIONS_0,
  /** Second partition of the submissions. */
  SUBMISSIONS_1,
  /** Third partition of the submissions. */
  SUBMISSIONS_2,
  /** Fourth partition of the submissions. */
  SUBMISSIONS_3,
  /** Fifth partition of the submissions. */
  SUBMISSIONS_4,
  /** Sixth partition of the submissions. */
  SUBMISSIONS_5,
  /** Seventh partition of the submissions. */
  SUBMISSIONS_6,
  /** Eighth partition of the submissions. */
  SUBMISSIONS_7,
  /** Ninth partition of the submissions. */
  SUBMISSIONS_8,
  /** Tenth partition of the submissions. */
  SUBMISSIONS_9,
  /** Eleventh partition of the submissions. */
  SUBMISSIONS_10,
  /** Twelfth partition of the submissions. */
  SUBMISSIONS_11,
  /** Progress of the jobs, written only by the coordinator. */
  LEDGER,
  /** Identity of the coordinator, renewed by its heartbeats. */
  OWNERSHIP,
  /** Addresses of the hosts. */
  HOSTS,
  /** Latest start of each host's process. */
  HOST_STARTS,
  /** Configuration, written by operators. */
  CONFIG,
  /** Descriptors of the workers, written by the workers. */
  WORKERS;

  private static final List<KeyedStream> SUBMISSION_PARTITIONS =
      List.copyOf(EnumSet.range(SUBMISSIONS_0, SUBMISSIONS_11));

  /**
   * Returns the partitions of the submissions. The store appends to each one independently, so
   * hosts that use different partitions do not block each other when the store is slow.
   */
  public static List<KeyedStream> submissionPartitions() {
    return SUBMISSION_PARTITIONS;
  }
}
