package org.hickorymoor.daemon.shard;

import org.hickorymoor.domain.runtime.RunTimeSource;

/**
 * Identity and timing of a host of a cell.
 *
 * @param hostId name of the host
 * @param domain failure domain of the host
 * @param peerAddress ip:port where peers reach it
 * @param leaseMs lease of the runs on a worker, counted from each renewal
 * @param workerHeartbeatMs interval at which workers write their entries in the list
 * @param workerDrainMs minimum time for which a worker that leaves as planned goes on running; one
 *     that announces less is taken away at short notice
 * @param processors processor capacity of this host in cores; strong hosts coordinate first
 * @param runTimes where expected run times come from
 */
public record ShardSettings(
    String hostId,
    String domain,
    String peerAddress,
    long leaseMs,
    long workerHeartbeatMs,
    long workerDrainMs,
    double processors,
    RunTimeSource runTimes) {

  /**
   * Interval of the coordinator's heartbeats; a dead coordinator is detected within about 1.5 s.
   */
  static final long HEARTBEAT_MS = 400;

  /** Three heartbeats missed in a row mean that the coordinator has failed or is cut off. */
  static final long ELECTION_TIMEOUT_MS = 1_200;

  /**
   * A coordinator renews leases of workers only this long after its last confirmed heartbeat, so
   * that its successor knows when the last of them ends; longer than the usual outage of the store.
   */
  static final long COORDINATOR_LEASE_MS = 12_000;

  /** Clocks of workers may run 2% slow, which lengthens a lease on other clocks by this factor. */
  static final double CLOCK_DRIFT_FACTOR = 1.021;

  /** Covers a late timer on a worker when a lease ends. */
  static final long LEASE_GRACE_MS = 100;

  /** A healthy store answers within 10 ms; after this time an answer counts as lost. */
  static final long STORE_TIMEOUT_MS = 1_000;

  /**
   * Timeout of a heartbeat append; after a lost answer, another heartbeat fits into the election
   * timeout.
   */
  static final long HEARTBEAT_TIMEOUT_MS = 600;

  /** Delay before a failed call to the store is retried. */
  static final long STORE_RETRY_MS = 100;

  /** Creates settings of a host that uses learned run times. */
  public ShardSettings(
      String hostId,
      String domain,
      String peerAddress,
      long leaseMs,
      long workerHeartbeatMs,
      long workerDrainMs,
      double processors) {
    this(
        hostId,
        domain,
        peerAddress,
        leaseMs,
        workerHeartbeatMs,
        workerDrainMs,
        processors,
        RunTimeSource.LEARNED);
  }
}
