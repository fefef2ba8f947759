package org.hickorymoor.daemon.coordinator;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.lease.LeaseSettings;

/**
 * Identifiers and timeouts of a coordinator.
 *
 * @param hostId id of this host
 * @param incarnation id of this run of the process; changes with every start
 * @param domain failure domain
 * @param ownershipLease duration and safety margin of the ownership lease
 * @param taskLeaseMs duration of a task's lease on its worker
 * @param syncWaitMs maximum time for which a worker may delay its reply to a sync
 * @param callTimeoutMs timeout for a call to a worker, in addition to {@code syncWaitMs} for a sync
 * @param tickMs delay between ticks
 * @param candidateStaggerMs additional delay per rank before an entry host becomes a candidate
 */
public record CoordinatorSettings(
    String hostId,
    String incarnation,
    String domain,
    LeaseSettings ownershipLease,
    long taskLeaseMs,
    long syncWaitMs,
    long callTimeoutMs,
    long tickMs,
    long candidateStaggerMs) {

  private static final long DEFAULT_OWNERSHIP_LEASE_MS = 4_000;
  private static final long DEFAULT_OWNERSHIP_MARGIN_MS = 400;
  private static final long DEFAULT_TASK_LEASE_MS = 12_000;
  private static final long DEFAULT_SYNC_WAIT_MS = 1_000;
  private static final long DEFAULT_CALL_TIMEOUT_MS = 1_000;
  private static final long DEFAULT_TICK_MS = 50;
  private static final long DEFAULT_STAGGER_MS = 300;

  /** Checks that leases outlast the calls that renew them, and task leases also a failover. */
  public CoordinatorSettings {
    requireNonNull(hostId, "hostId");
    requireNonNull(incarnation, "incarnation");
    requireNonNull(domain, "domain");
    checkArgument(
        ownershipLease.leaseMs() - ownershipLease.marginMs() > syncWaitMs + callTimeoutMs,
        "ownership lease less its margin must exceed syncWaitMs plus callTimeoutMs,"
            + " got leaseMs %s, syncWaitMs %s and callTimeoutMs %s",
        ownershipLease.leaseMs(),
        syncWaitMs,
        callTimeoutMs);
    checkArgument(
        taskLeaseMs > 2 * ownershipLease.leaseMs(),
        "taskLeaseMs must be more than twice the ownership lease of %s ms, got %s",
        ownershipLease.leaseMs(),
        taskLeaseMs);
  }

  /**
   * Returns settings with the default timeouts.
   *
   * @param hostId id of this host
   * @param incarnation id of this run of the process
   * @param domain failure domain
   * @return the settings
   */
  public static CoordinatorSettings withDefaults(String hostId, String incarnation, String domain) {
    return new CoordinatorSettings(
        hostId,
        incarnation,
        domain,
        new LeaseSettings(DEFAULT_OWNERSHIP_LEASE_MS, DEFAULT_OWNERSHIP_MARGIN_MS),
        DEFAULT_TASK_LEASE_MS,
        DEFAULT_SYNC_WAIT_MS,
        DEFAULT_CALL_TIMEOUT_MS,
        DEFAULT_TICK_MS,
        DEFAULT_STAGGER_MS);
  }

  /**
   * Returns the time after a worker's last reply at which all task leases on it have certainly
   * expired, provided that no other host renews them.
   *
   * <p>A renewal in flight when the replies stopped takes effect within one ownership lease at the
   * latest, and extends a task by one task lease.
   *
   * @return duration in ms
   */
  public long taskExpiryMs() {
    return ownershipLease.leaseMs() + taskLeaseMs + ownershipLease.marginMs();
  }
}
