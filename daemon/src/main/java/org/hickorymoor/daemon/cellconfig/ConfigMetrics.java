package org.hickorymoor.daemon.cellconfig;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;

/** Metrics of the configuration of this host. */
final class ConfigMetrics {

  private final Counter fromPeers;

  /**
   * Registers the metrics.
   *
   * @param registry registry of the process
   * @param version returns the version in force, -1 for none
   * @param confirmedAgeMs returns the time since the newest confirmation, -1 for none
   */
  ConfigMetrics(MetricRegistry registry, LongSupplier version, LongSupplier confirmedAgeMs) {
    fromPeers = registry.counter("config.from-peers");
    registry.gauge("config.version", () -> (Gauge<Long>) version::getAsLong);
    registry.gauge("config.confirmed-age-ms", () -> (Gauge<Long>) confirmedAgeMs::getAsLong);
  }

  /** Counts a version that came from a peer. */
  void appliedFromPeer() {
    fromPeers.inc();
  }
}
