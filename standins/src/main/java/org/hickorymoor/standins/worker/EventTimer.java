package org.hickorymoor.standins.worker;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.jspecify.annotations.Nullable;

/**
 * Processes the timed events of a worker, such as lease expiry, when no call arrives.
 *
 * <p>Thread-safe.
 */
final class EventTimer {

  private final WorkerState state;
  private final WorkerClock clock;
  private final ScheduledThreadPoolExecutor timer;
  private final Object lock = new Object();
  private @Nullable Future<?> pending;
  private long pendingAtMs = Run.NEVER_MS;

  EventTimer(WorkerState state, WorkerClock clock, String name) {
    this.state = state;
    this.clock = clock;
    this.timer = new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, name));
    timer.setRemoveOnCancelPolicy(true);
  }

  /** Processes due events and schedules the next one. Must be called after each state change. */
  void processDueEvents() {
    schedule(state.processDueEvents());
  }

  void stop() {
    timer.shutdownNow();
  }

  private void schedule(long atMs) {
    synchronized (lock) {
      if (atMs >= pendingAtMs || timer.isShutdown()) {
        return;
      }
      if (pending != null) {
        pending.cancel(false);
      }
      pendingAtMs = atMs;
      long delayMs = Math.max(0, atMs - clock.nowMs());
      pending = timer.schedule(this::run, delayMs, MILLISECONDS);
    }
  }

  private void run() {
    synchronized (lock) {
      pending = null;
      pendingAtMs = Run.NEVER_MS;
    }
    processDueEvents();
  }

  private static Thread daemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
