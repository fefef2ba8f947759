package org.hickorymoor.standins.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link LogStandIn}.
 *
 * @param appendsPerSecond maximum appends per second over all streams
 * @param retentionMs retention time of records
 * @param retentionRecords maximum number of records retained per stream
 * @param bindHost IP address to bind
 * @param port port to bind; 0 for an ephemeral port
 */
public record LogSettings(
    double appendsPerSecond, long retentionMs, int retentionRecords, String bindHost, int port) {

  private static final String LOOPBACK = "127.0.0.1";
  private static final double APPENDS_PER_SECOND = 500;
  private static final long RETENTION_MS = 3_600_000;
  private static final int RETENTION_RECORDS = 20_000;

  /** Validates the ranges. */
  public LogSettings {
    checkArgument(
        appendsPerSecond > 0, "appendsPerSecond must be above 0, got %s", appendsPerSecond);
    checkArgument(retentionMs > 0, "retentionMs must be above 0, got %s", retentionMs);
    checkArgument(
        retentionRecords > 0, "retentionRecords must be above 0, got %s", retentionRecords);
    checkArgument(port >= 0, "port must not be negative, got %s", port);
  }

  /**
   * Returns the default settings, with an ephemeral port on the loopback interface.
   *
   * @return settings of 500 appends per second, and of one hour and 20,000 records per stream
   */
  public static LogSettings defaults() {
    return new LogSettings(APPENDS_PER_SECOND, RETENTION_MS, RETENTION_RECORDS, LOOPBACK, 0);
  }

  /**
   * Returns these settings with another append rate limit.
   *
   * @param limit maximum appends per second over all streams
   * @return the changed settings
   */
  public LogSettings withAppendsPerSecond(double limit) {
    return new LogSettings(limit, retentionMs, retentionRecords, bindHost, port);
  }

  /**
   * Returns these settings with another retention.
   *
   * @param ms retention time of records
   * @param records maximum number of records retained per stream
   * @return the changed settings
   */
  public LogSettings withRetention(long ms, int records) {
    return new LogSettings(appendsPerSecond, ms, records, bindHost, port);
  }
}
