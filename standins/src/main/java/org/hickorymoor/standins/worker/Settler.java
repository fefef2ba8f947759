package org.hickorymoor.standins.worker;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.jspecify.annotations.Nullable;

/**
 * Settles a worker's state whenever something in it is due, though nobody calls.
 *
 * <p>Safe for use by several threads.
 */
final class Settler {

  private final WorkerState state;
  private final WorkerClock clock;
  private final ScheduledThreadPoolExecutor timer;
  private final Object lock = new Object();
  private @Nullable Future<?> pending;
  private long pendingAtMs = Run.NEVER_MS;

  Settler(WorkerState state, WorkerClock clock, String name) {
    this.state = state;
    this.clock = clock;
    this.timer = new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, name));
    timer.setRemoveOnCancelPolicy(true);
  }

  /** Settles now and plans the next time. To be called after each change of the state. */
  void settle() {
    plan(state.settle());
  }

  void stop() {
    timer.shutdownNow();
  }

  private void plan(long atMs) {
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
    settle();
  }

  private static Thread daemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
