package org.hickorymoor.daemon.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Identity of this host, and intervals and timeouts of a {@link Membership}.
 *
 * @param hostId id of this host
 * @param domain failure domain of this host
 * @param region region of this host
 * @param address ip:port of this host's peer interface
 * @param seedAddresses ip:port of peers of the own domain, contacted until the host list has been
 *     read once
 * @param hostListPollMs interval of reading the host list
 * @param statusMs interval of status exchanges with each peer of the own domain
 * @param remoteStatusMs interval of status exchanges with one host of each other domain
 * @param callTimeoutMs timeout of one call
 * @param pausedAfterMs silence after which a host counts as paused
 * @param deadAfterMs silence after which a host counts as dead
 */
public record MembershipSettings(
    String hostId,
    String domain,
    String region,
    String address,
    List<String> seedAddresses,
    long hostListPollMs,
    long statusMs,
    long remoteStatusMs,
    long callTimeoutMs,
    long pausedAfterMs,
    long deadAfterMs) {

  private static final long HOST_LIST_POLL_MS = 2_000;
  private static final long STATUS_MS = 1_000;
  private static final long REMOTE_STATUS_MS = 20_000;
  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final long PAUSED_AFTER_MS = 3_000;
  private static final long DEAD_AFTER_MS = 10_000;

  /** Checks the ranges and copies the list. */
  public MembershipSettings {
    requireNonNull(hostId, "hostId");
    requireNonNull(domain, "domain");
    requireNonNull(region, "region");
    requireNonNull(address, "address");
    seedAddresses = List.copyOf(seedAddresses);
    checkArgument(hostListPollMs >= 1, "hostListPollMs must be at least 1, got %s", hostListPollMs);
    checkArgument(statusMs >= 1, "statusMs must be at least 1, got %s", statusMs);
    checkArgument(
        remoteStatusMs >= statusMs,
        "remoteStatusMs must be at least statusMs (%s), got %s",
        statusMs,
        remoteStatusMs);
    checkArgument(callTimeoutMs >= 1, "callTimeoutMs must be at least 1, got %s", callTimeoutMs);
    checkArgument(
        pausedAfterMs > statusMs,
        "pausedAfterMs must be more than statusMs (%s), got %s",
        statusMs,
        pausedAfterMs);
    checkArgument(
        deadAfterMs > pausedAfterMs,
        "deadAfterMs must be more than pausedAfterMs (%s), got %s",
        pausedAfterMs,
        deadAfterMs);
  }

  /**
   * Returns settings with the default intervals and timeouts.
   *
   * @param hostId id of this host
   * @param domain failure domain of this host
   * @param region region of this host
   * @param address ip:port of this host's peer interface
   * @param seedAddresses ip:port of peers of the own domain, contacted until the host list has been
   *     read once
   * @return the settings
   */
  public static MembershipSettings defaults(
      String hostId, String domain, String region, String address, List<String> seedAddresses) {
    return new MembershipSettings(
        hostId,
        domain,
        region,
        address,
        seedAddresses,
        HOST_LIST_POLL_MS,
        STATUS_MS,
        REMOTE_STATUS_MS,
        CALL_TIMEOUT_MS,
        PAUSED_AFTER_MS,
        DEAD_AFTER_MS);
  }
}
