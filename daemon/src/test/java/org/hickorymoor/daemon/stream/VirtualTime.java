package org.hickorymoor.daemon.stream;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.codahale.metrics.MetricRegistry;
import java.util.Random;
import org.jmock.lib.concurrent.DeterministicScheduler;

/** Single-threaded scheduler with a virtual clock that only {@link #advance} moves. */
public final class VirtualTime {

  private static final long STEP_MS = 10;

  private final DeterministicScheduler scheduler = new DeterministicScheduler();
  private long nowMs;

  /** Returns the virtual time. */
  public long nowMs() {
    return nowMs;
  }

  /** Advances the clock and runs the tasks that become due. */
  public void advance(long byMs) {
    long untilMs = nowMs + byMs;
    while (nowMs < untilMs) {
      nowMs += STEP_MS;
      scheduler.tick(STEP_MS, MILLISECONDS);
    }
  }

  /** Returns a context with this clock and scheduler, and jitter from a seed. */
  public StreamContext context(FakeLog log, long seed) {
    Random random = new Random(seed);
    return new StreamContext(log, scheduler, this::nowMs, new MetricRegistry(), random::nextDouble);
  }
}
