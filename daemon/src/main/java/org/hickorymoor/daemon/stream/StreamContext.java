package org.hickorymoor.daemon.stream;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.hickorymoor.daemon.port.LogPort;

/**
 * Dependencies shared by the services of this package.
 *
 * @param log the platform's log
 * @param executor runs timers, listeners and completions; the caller stops it, after the services
 * @param clockMs monotonic time in ms
 * @param metrics registry for the meters
 * @param random source of jitter, from 0 inclusive to 1 exclusive
 */
public record StreamContext(
    LogPort log,
    ScheduledExecutorService executor,
    LongSupplier clockMs,
    MetricRegistry metrics,
    DoubleSupplier random) {

  /** Rejects null components. */
  public StreamContext {
    requireNonNull(log, "log");
    requireNonNull(executor, "executor");
    requireNonNull(clockMs, "clockMs");
    requireNonNull(metrics, "metrics");
    requireNonNull(random, "random");
  }

  /**
   * Creates a context with unseeded jitter.
   *
   * @param log the platform's log
   * @param executor runs timers, listeners and completions
   * @param clockMs monotonic time in ms
   * @param metrics registry for the meters
   */
  public StreamContext(
      LogPort log,
      ScheduledExecutorService executor,
      LongSupplier clockMs,
      MetricRegistry metrics) {
    this(log, executor, clockMs, metrics, () -> ThreadLocalRandom.current().nextDouble());
  }

  /**
   * Returns the monotonic time.
   *
   * @return time in ms, only comparable within this process
   */
  public long nowMs() {
    return clockMs.getAsLong();
  }
}
