package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.Random;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** An event loop with its own thread and the system clocks. */
public final class SingleThreadEventLoop implements ShardEventLoop {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long STOP_WAIT_MS = 1_000;

  private final Random random = new Random();
  private final ScheduledThreadPoolExecutor executor;

  /** Creates the loop of a shard; its thread starts with the first task. */
  public SingleThreadEventLoop() {
    this("shard");
  }

  /**
   * Creates a loop; its thread starts with the first task.
   *
   * @param threadName name of the thread
   */
  public SingleThreadEventLoop(String threadName) {
    executor =
        new ScheduledThreadPoolExecutor(
            1, new ThreadFactoryBuilder().setNameFormat(threadName).setDaemon(true).build());
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public void execute(Runnable task) {
    schedule(0, task);
  }

  @Override
  public void schedule(long delayMs, Runnable task) {
    try {
      var unused =
          executor.schedule(
              () -> ShardEventLoop.runIsolated(task, "a task of the event loop"),
              delayMs,
              TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("shard: Task rejected, the event loop is stopped.");
    }
  }

  @Override
  public long nowNs() {
    return System.nanoTime();
  }

  @Override
  public long nowMs() {
    return System.currentTimeMillis();
  }

  @Override
  public Random random() {
    return random;
  }

  @Override
  public void stop() {
    executor.shutdown();
    try {
      if (!executor.awaitTermination(STOP_WAIT_MS, TimeUnit.MILLISECONDS)) {
        logger.atWarning().log("shard: Event loop is still busy after the stop timeout.");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
