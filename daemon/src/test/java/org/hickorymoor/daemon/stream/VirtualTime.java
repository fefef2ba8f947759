package org.hickorymoor.daemon.stream;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.codahale.metrics.MetricRegistry;
import java.util.Random;
import org.jmock.lib.concurrent.DeterministicScheduler;

/** Runs services on one thread and on a clock that only {@link #advance} moves. */
public final class VirtualTime {

  private static final long STEP_MS = 10;

  private final DeterministicScheduler scheduler = new DeterministicScheduler();
  private long nowMs;

  /** Returns the time. */
  public long nowMs() {
    return nowMs;
  }

  /** Lets time pass and runs what falls due. */
  public void advance(long byMs) {
    long untilMs = nowMs + byMs;
    while (nowMs < untilMs) {
      nowMs += STEP_MS;
      scheduler.tick(STEP_MS, MILLISECONDS);
    }
  }

  /** Returns a context that runs on this time, with jitter fixed by a seed. */
  public StreamContext context(FakeLog log, long seed) {
    Random random = new Random(seed);
    return new StreamContext(log, scheduler, this::nowMs, new MetricRegistry(), random::nextDouble);
  }
}
