package org.hickorymoor.daemon.stream;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.hickorymoor.daemon.port.LogPort;

/**
 * What every service of this package works with.
 *
 * @param log the platform's log
 * @param executor runs timers, listeners and completions; the caller stops it, after the services
 * @param clockMs monotonic time in ms
 * @param metrics where counters are registered
 * @param random draws jitter, from 0 to below 1
 */
public record StreamContext(
    LogPort log,
    ScheduledExecutorService executor,
    LongSupplier clockMs,
    MetricRegistry metrics,
    DoubleSupplier random) {

  /** Rejects absent parts. */
  public StreamContext {
    requireNonNull(log, "log");
    requireNonNull(executor, "executor");
    requireNonNull(clockMs, "clockMs");
    requireNonNull(metrics, "metrics");
    requireNonNull(random, "random");
  }

  /**
   * Makes a context with jitter that no seed fixes.
   *
   * @param log the platform's log
   * @param executor runs timers, listeners and completions
   * @param clockMs monotonic time in ms
   * @param metrics where counters are registered
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
   * @return time in ms, of no meaning outside this process
   */
  public long nowMs() {
    return clockMs.getAsLong();
  }
}
