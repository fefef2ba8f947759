package org.hickorymoor.daemon.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * Timeouts and limits of the peer transport.
 *
 * <pre>{@code
 * PeerSettings settings = PeerSettings.defaults("kano", "north").withHeartbeat(500, 1_500);
 * }</pre>
 *
 * @param domain own failure domain, sent to peers so that they can count traffic per link
 * @param region own region, sent to peers for the same reason
 * @param heartbeatMs idle time after which a heartbeat is sent; 1.5 times as long on the end that
 *     did not open the connection
 * @param heartbeatTimeoutMs a connection is closed if nothing was received for this time; the check
 *     may run up to a quarter of {@code heartbeatMs} late
 * @param connectTimeoutMs timeout for establishing a connection
 * @param minBackoffMs wait after the first failed connection attempt
 * @param maxBackoffMs maximum wait between connection attempts
 * @param idleTimeoutMs time without calls after which a client closes a connection
 * @param stopGraceMs maximum time that a stop waits for calls in flight
 * @param maxFrameBytes maximum frame size, including the header
 * @param maxOutboundBytes maximum unsent bytes on one connection
 * @param maxTotalOutboundBytes maximum unsent bytes on all connections of a client or server
 * @param maxInFlight maximum number of unanswered calls on one connection
 * @param maxConnections maximum number of connections to a server
 * @param maxVersion newest body version to support
 */
public record PeerSettings(
    String domain,
    String region,
    long heartbeatMs,
    long heartbeatTimeoutMs,
    long connectTimeoutMs,
    long minBackoffMs,
    long maxBackoffMs,
    long idleTimeoutMs,
    long stopGraceMs,
    int maxFrameBytes,
    int maxOutboundBytes,
    int maxTotalOutboundBytes,
    int maxInFlight,
    int maxConnections,
    int maxVersion) {

  private static final long HEARTBEAT_MS = 1_000;
  private static final long HEARTBEAT_TIMEOUT_MS = 3_000;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 2_000;
  private static final long IDLE_TIMEOUT_MS = 300_000;
  private static final long STOP_GRACE_MS = 5_000;
  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final int MAX_OUTBOUND_BYTES = 2 << 20;
  private static final int MAX_TOTAL_OUTBOUND_BYTES = 8 << 20;
  private static final int MAX_IN_FLIGHT = 2_048;
  private static final int MAX_CONNECTIONS = 128;

  /** Checks the ranges. */
  public PeerSettings {
    requireNonNull(domain, "domain");
    requireNonNull(region, "region");
    checkArgument(heartbeatMs >= 1, "heartbeatMs must be at least 1, got %s", heartbeatMs);
    checkArgument(
        heartbeatTimeoutMs >= 3 * heartbeatMs,
        "heartbeatTimeoutMs must be at least three times heartbeatMs (%s), got %s",
        heartbeatMs,
        heartbeatTimeoutMs);
    checkArgument(
        connectTimeoutMs >= 1, "connectTimeoutMs must be at least 1, got %s", connectTimeoutMs);
    checkArgument(minBackoffMs >= 1, "minBackoffMs must be at least 1, got %s", minBackoffMs);
    checkArgument(
        maxBackoffMs >= minBackoffMs,
        "maxBackoffMs must be at least minBackoffMs (%s), got %s",
        minBackoffMs,
        maxBackoffMs);
    checkArgument(idleTimeoutMs >= 1, "idleTimeoutMs must be at least 1, got %s", idleTimeoutMs);
    checkArgument(stopGraceMs >= 0, "stopGraceMs must not be negative, got %s", stopGraceMs);
    checkArgument(maxFrameBytes >= 64, "maxFrameBytes must be at least 64, got %s", maxFrameBytes);
    checkArgument(
        maxOutboundBytes >= maxFrameBytes,
        "maxOutboundBytes must be at least maxFrameBytes (%s), got %s",
        maxFrameBytes,
        maxOutboundBytes);
    checkArgument(
        maxTotalOutboundBytes >= maxOutboundBytes,
        "maxTotalOutboundBytes must be at least maxOutboundBytes (%s), got %s",
        maxOutboundBytes,
        maxTotalOutboundBytes);
    checkArgument(maxInFlight >= 1, "maxInFlight must be at least 1, got %s", maxInFlight);
    checkArgument(maxConnections >= 1, "maxConnections must be at least 1, got %s", maxConnections);
    checkArgument(
        maxVersion >= BodyVersion.OLDEST && maxVersion <= BodyVersion.NEWEST,
        "maxVersion must be from %s to %s, got %s",
        BodyVersion.OLDEST,
        BodyVersion.NEWEST,
        maxVersion);
  }

  /** Returns the maximum MessagePack size in bytes, so that it fits into a frame undeflated. */
  int maxPackedBytes() {
    return maxFrameBytes - Frame.MAX_HEADER_BYTES - BodyVersion.PREFIX_BYTES;
  }

  /**
   * Returns the default settings.
   *
   * @param domain own failure domain
   * @param region own region
   * @return the settings
   */
  public static PeerSettings defaults(String domain, String region) {
    return new PeerSettings(
        domain,
        region,
        HEARTBEAT_MS,
        HEARTBEAT_TIMEOUT_MS,
        CONNECT_TIMEOUT_MS,
        MIN_BACKOFF_MS,
        MAX_BACKOFF_MS,
        IDLE_TIMEOUT_MS,
        STOP_GRACE_MS,
        MAX_FRAME_BYTES,
        MAX_OUTBOUND_BYTES,
        MAX_TOTAL_OUTBOUND_BYTES,
        MAX_IN_FLIGHT,
        MAX_CONNECTIONS,
        BodyVersion.NEWEST);
  }

  /**
   * Returns a copy with different heartbeat times.
   *
   * @param heartbeatMs idle time after which a heartbeat is sent
   * @param heartbeatTimeoutMs time without received data after which a connection is closed
   * @return the settings
   */
  public PeerSettings withHeartbeat(long heartbeatMs, long heartbeatTimeoutMs) {
    return new PeerSettings(
        domain,
        region,
        heartbeatMs,
        heartbeatTimeoutMs,
        connectTimeoutMs,
        minBackoffMs,
        maxBackoffMs,
        idleTimeoutMs,
        stopGraceMs,
        maxFrameBytes,
        maxOutboundBytes,
        maxTotalOutboundBytes,
        maxInFlight,
        maxConnections,
        maxVersion);
  }

  /**
   * Returns a copy with a different grace period.
   *
   * @param stopGraceMs maximum time that a stop waits for calls in flight
   * @return the settings
   */
  public PeerSettings withStopGraceMs(long stopGraceMs) {
    return new PeerSettings(
        domain,
        region,
        heartbeatMs,
        heartbeatTimeoutMs,
        connectTimeoutMs,
        minBackoffMs,
        maxBackoffMs,
        idleTimeoutMs,
        stopGraceMs,
        maxFrameBytes,
        maxOutboundBytes,
        maxTotalOutboundBytes,
        maxInFlight,
        maxConnections,
        maxVersion);
  }

  /**
   * Returns a copy with different memory limits. The outbound limit for all connections is raised
   * to the limit for one connection if it is lower.
   *
   * @param maxFrameBytes maximum frame size, including the header
   * @param maxOutboundBytes maximum unsent bytes on one connection
   * @param maxInFlight maximum number of unanswered calls on one connection
   * @return the settings
   */
  public PeerSettings withLimits(int maxFrameBytes, int maxOutboundBytes, int maxInFlight) {
    return new PeerSettings(
        domain,
        region,
        heartbeatMs,
        heartbeatTimeoutMs,
        connectTimeoutMs,
        minBackoffMs,
        maxBackoffMs,
        idleTimeoutMs,
        stopGraceMs,
        maxFrameBytes,
        maxOutboundBytes,
        Math.max(maxTotalOutboundBytes, maxOutboundBytes),
        maxInFlight,
        maxConnections,
        maxVersion);
  }

  /**
   * Returns a copy with a different newest body version.
   *
   * @param maxVersion newest body version to support
   * @return the settings
   */
  public PeerSettings withMaxVersion(int maxVersion) {
    return new PeerSettings(
        domain,
        region,
        heartbeatMs,
        heartbeatTimeoutMs,
        connectTimeoutMs,
        minBackoffMs,
        maxBackoffMs,
        idleTimeoutMs,
        stopGraceMs,
        maxFrameBytes,
        maxOutboundBytes,
        maxTotalOutboundBytes,
        maxInFlight,
        maxConnections,
        maxVersion);
  }
}
