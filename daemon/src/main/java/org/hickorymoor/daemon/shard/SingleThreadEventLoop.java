package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.Random;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A loop with a thread of its own and the system's clocks. */
public final class SingleThreadEventLoop implements ShardEventLoop {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long STOP_WAIT_MS = 1_000;

  private final Random random = new Random();
  private final ScheduledThreadPoolExecutor executor =
      new ScheduledThreadPoolExecutor(
          1, new ThreadFactoryBuilder().setNameFormat("shard").setDaemon(true).build());

  /** Makes a loop; its thread starts with the first task. */
  public SingleThreadEventLoop() {
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
      var unused = executor.schedule(() -> run(task), delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("shard: Task dropped, the host stops.");
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
        logger.atWarning().log("shard: Loop still busy at stop.");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("shard: Task failed.");
    }
  }
}
