package org.hickorymoor.daemon.port;

/** The streams of keyed records that a cell of hosts shares through the platform's store. */
public enum LogPart {
  /** Jobs as accepted and cancellations, written by every host. */
  SUBMISSIONS,
  /** How far jobs are, written by the coordinator alone. */
  LEDGER,
  /** Which host coordinates, renewed by its heartbeats. */
  OWNERSHIP,
  /** Addresses of the hosts. */
  HOSTS,
  /** Configuration, written by operators. */
  CONFIG,
  /** What workers say of themselves. */
  WORKERS
}
