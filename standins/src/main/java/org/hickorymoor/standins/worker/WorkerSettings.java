package org.hickorymoor.standins.worker;

import static com.google.common.base.Preconditions.checkArgument;

import org.hickorymoor.domain.Resources;

/**
 * Settings of a {@link WorkerStandIn}.
 *
 * <pre>{@code
 * WorkerSettings settings =
 *     WorkerSettings.of("w1", "kano", "rack-1", new Resources(8, 64, 16_000, 65_536, 0));
 * }</pre>
 *
 * @param workerId id of the worker
 * @param domain failure domain
 * @param rack rack within the failure domain
 * @param capacity declared capacity
 * @param usageLagMs age of the usage in the reports of the worker
 * @param bindHost IP address to bind
 * @param port port to bind; 0 for an ephemeral port
 */
public record WorkerSettings(
    String workerId,
    String domain,
    String rack,
    Resources capacity,
    long usageLagMs,
    String bindHost,
    int port) {

  private static final String LOOPBACK = "127.0.0.1";

  /** Validates the ranges. */
  public WorkerSettings {
    checkArgument(usageLagMs >= 0, "usageLagMs must not be negative, got %s", usageLagMs);
    checkArgument(port >= 0, "port must not be negative, got %s", port);
  }

  /**
   * Returns settings without usage lag, for an ephemeral port on the loopback interface.
   *
   * @param workerId id of the worker
   * @param domain failure domain
   * @param rack rack within the failure domain
   * @param capacity declared capacity
   * @return the settings
   */
  public static WorkerSettings of(String workerId, String domain, String rack, Resources capacity) {
    return new WorkerSettings(workerId, domain, rack, capacity, 0, LOOPBACK, 0);
  }
}
