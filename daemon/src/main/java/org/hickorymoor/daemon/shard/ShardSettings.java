package org.hickorymoor.daemon.shard;

/**
 * Times and identity of a host of a cell.
 *
 * @param hostId name of the host
 * @param domain failure domain of the host
 * @param peerAddress ip:port where peers reach it
 * @param leaseMs lease of what runs on a worker, counted from each renewal
 */
public record ShardSettings(String hostId, String domain, String peerAddress, long leaseMs) {

  /** Sends per second enough to notice a dead coordinator within about a second and a half. */
  static final long HEARTBEAT_MS = 400;

  /** Three heartbeats missed in a row mean that the coordinator is gone or cut off. */
  static final long ELECTION_TIMEOUT_MS = 1_200;

  /**
   * A coordinator renews leases only this long after its last confirmed heartbeat, so that its
   * successor knows when the last lease ends; longer than the usual outage of the store.
   */
  static final long COORDINATOR_LEASE_MS = 12_000;

  /** Workers' clocks may run 2% slow, which lengthens a lease as others see it. */
  static final double CLOCK_DRIFT_FACTOR = 1.021;

  /** Covers a late timer at the worker when a lease ends. */
  static final long LEASE_GRACE_MS = 100;

  /** The store answers within 10 ms when it is well; a lost answer is noticed within this time. */
  static final long STORE_TIMEOUT_MS = 1_000;

  /** Time for a heartbeat, so that one lost answer leaves room for another before the silence. */
  static final long HEARTBEAT_TIMEOUT_MS = 600;

  /** Wait before a failed call to the store is sent again. */
  static final long STORE_RETRY_MS = 100;
}
