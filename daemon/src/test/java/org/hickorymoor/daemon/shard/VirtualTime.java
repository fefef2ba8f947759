package org.hickorymoor.daemon.shard;

import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A simulated clock that advances from event to event, so that a minute takes milliseconds. */
final class VirtualTime {

  private record Event(long atNs, long order, Runnable task) {}

  private static final long UNIX_ORIGIN_MS = 1_700_000_000_000L;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atNs).thenComparingLong(Event::order));
  private final Random random;
  private long nowNs;
  private long order;

  VirtualTime(long seed) {
    random = new Random(seed);
  }

  Random random() {
    return random;
  }

  long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(nowNs);
  }

  void after(long delayMs, Runnable task) {
    events.add(new Event(nowNs + TimeUnit.MILLISECONDS.toNanos(delayMs), order++, task));
  }

  /** Advances the clock, running all events that become due. */
  void advance(long forMs) {
    long endNs = nowNs + TimeUnit.MILLISECONDS.toNanos(forMs);
    while (!events.isEmpty() && events.peek().atNs() <= endNs) {
      step();
    }
    nowNs = endNs;
  }

  /** Advances the clock until a condition holds; returns whether it did before the timeout. */
  boolean advanceUntil(long timeoutMs, BooleanSupplier condition) {
    long endNs = nowNs + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!condition.getAsBoolean()) {
      if (events.isEmpty() || events.peek().atNs() > endNs) {
        nowNs = endNs;
        return condition.getAsBoolean();
      }
      step();
    }
    return true;
  }

  private void step() {
    Event next = events.remove();
    nowNs = Math.max(nowNs, next.atNs());
    next.task().run();
  }

  /** The event loop of a host, which can be killed, frozen or slowed down. */
  final class HostEventLoop implements ShardEventLoop {
    private boolean dead;
    private long frozenUntilNs;
    private long lagMs;
    private long suspendedNs;
    private long suspendedUntilNs;

    /** Delays every task by this time. */
    void slow(long delayMs) {
      lagMs = delayMs;
    }

    /** Drops all pending and future tasks of the host. */
    void kill() {
      dead = true;
    }

    /** Suspends the tasks of the host; calls that are in flight continue. */
    void freeze(long forMs) {
      frozenUntilNs = Math.max(suspendedUntilNs, nowNs + TimeUnit.MILLISECONDS.toNanos(forMs));
    }

    /** Suspends the host: like {@link #freeze}, and the steady clock stands still meanwhile. */
    void suspend(long forMs) {
      long endNs = nowNs + TimeUnit.MILLISECONDS.toNanos(forMs);
      // Suspensions that overlap stop the clock once.
      suspendedNs += Math.max(0, endNs - Math.max(nowNs, suspendedUntilNs));
      suspendedUntilNs = Math.max(suspendedUntilNs, endNs);
      frozenUntilNs = Math.max(frozenUntilNs, endNs);
    }

    boolean isDead() {
      return dead;
    }

    @Override
    public void execute(Runnable task) {
      schedule(0, task);
    }

    @Override
    public void schedule(long delayMs, Runnable task) {
      after(delayMs + lagMs, () -> run(task));
    }

    private void run(Runnable task) {
      if (dead) {
        return;
      }
      if (nowNs < frozenUntilNs) {
        after(TimeUnit.NANOSECONDS.toMillis(frozenUntilNs - nowNs) + 1, () -> run(task));
        return;
      }
      task.run();
    }

    @Override
    public long nowNs() {
      return nowNs - suspendedNs;
    }

    @Override
    public long nowMs() {
      return UNIX_ORIGIN_MS + TimeUnit.NANOSECONDS.toMillis(nowNs);
    }

    @Override
    public Random random() {
      return random;
    }

    @Override
    public void stop() {
      dead = true;
    }
  }
}
