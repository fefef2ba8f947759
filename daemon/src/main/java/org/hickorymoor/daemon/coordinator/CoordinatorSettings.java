package org.hickorymoor.daemon.coordinator;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.lease.HoldSettings;

/**
 * Times and names of a coordinator.
 *
 * @param hostId this host
 * @param incarnation changes with every start of the process
 * @param domain failure domain
 * @param hold times of the ownership lease
 * @param taskLeaseMs length of a task's lease on its worker
 * @param syncWaitMs longest time that a worker holds back its answer to a sync
 * @param callTimeoutMs longest time for a call to a worker, beyond what it holds back
 * @param tickMs time between two looks at what is due
 * @param candidateStaggerMs head start of each entry host over the next in becoming coordinator
 */
public record CoordinatorSettings(
    String hostId,
    String incarnation,
    String domain,
    HoldSettings hold,
    long taskLeaseMs,
    long syncWaitMs,
    long callTimeoutMs,
    long tickMs,
    long candidateStaggerMs) {

  private static final long DEFAULT_HOLD_LEASE_MS = 4_000;
  private static final long DEFAULT_HOLD_MARGIN_MS = 400;
  private static final long DEFAULT_TASK_LEASE_MS = 12_000;
  private static final long DEFAULT_SYNC_WAIT_MS = 1_000;
  private static final long DEFAULT_CALL_TIMEOUT_MS = 1_000;
  private static final long DEFAULT_TICK_MS = 50;
  private static final long DEFAULT_STAGGER_MS = 300;

  /** Checks that a lease outlives the calls that renew it, and a failover. */
  public CoordinatorSettings {
    requireNonNull(hostId, "hostId");
    requireNonNull(incarnation, "incarnation");
    requireNonNull(domain, "domain");
    checkArgument(
        hold.leaseMs() - hold.marginMs() > syncWaitMs + callTimeoutMs,
        "the hold lease of %s ms must outlast a sync of %s ms and its timeout of %s ms",
        hold.leaseMs(),
        syncWaitMs,
        callTimeoutMs);
    checkArgument(
        taskLeaseMs > 2 * hold.leaseMs(),
        "taskLeaseMs must be more than twice the hold lease of %s ms, got %s",
        hold.leaseMs(),
        taskLeaseMs);
  }

  /**
   * Returns the usual times.
   *
   * @param hostId this host
   * @param incarnation changes with every start of the process
   * @param domain failure domain
   * @return the settings
   */
  public static CoordinatorSettings usual(String hostId, String incarnation, String domain) {
    return new CoordinatorSettings(
        hostId,
        incarnation,
        domain,
        new HoldSettings(DEFAULT_HOLD_LEASE_MS, DEFAULT_HOLD_MARGIN_MS),
        DEFAULT_TASK_LEASE_MS,
        DEFAULT_SYNC_WAIT_MS,
        DEFAULT_CALL_TIMEOUT_MS,
        DEFAULT_TICK_MS,
        DEFAULT_STAGGER_MS);
  }

  /**
   * Returns the time after the last answer of a worker at which every task on it has certainly
   * lapsed, if nobody renews it.
   *
   * <p>A renewal on its way when the answers stopped takes effect within the ownership lease at the
   * latest, and extends a task by one task lease.
   *
   * @return length in ms
   */
  public long lapseMs() {
    return hold.leaseMs() + taskLeaseMs + hold.marginMs();
  }
}
