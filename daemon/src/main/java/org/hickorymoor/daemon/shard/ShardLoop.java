package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/** The one thread that owns the state of a shard. Its methods are safe for use by any thread. */
public final class ShardLoop {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long STOP_WAIT_MS = 1_000;

  private final ScheduledThreadPoolExecutor executor =
      new ScheduledThreadPoolExecutor(
          1, new ThreadFactoryBuilder().setNameFormat("shard").setDaemon(true).build());

  /** Makes a loop; its thread starts with the first task. */
  public ShardLoop() {
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Runs a task soon. */
  void execute(Runnable task) {
    try {
      executor.execute(() -> run(task));
    } catch (RejectedExecutionException e) {
      logger.atFine().log("shard: Task dropped, the host stops.");
    }
  }

  /** Runs a task after a delay. */
  void schedule(long delayMs, Runnable task) {
    try {
      var unused = executor.schedule(() -> run(task), delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("shard: Timer dropped, the host stops.");
    }
  }

  /**
   * Hands the outcome of a call to the platform to the loop's thread.
   *
   * @param future the call
   * @param handler takes the value, or the failure; one of them is null
   */
  <T> void then(
      CompletableFuture<T> future, BiConsumer<@Nullable T, @Nullable PlatformException> handler) {
    var unused =
        future.whenComplete(
            (value, failure) -> execute(() -> handler.accept(value, unwrap(failure))));
  }

  /** Stops the loop; tasks that have not begun are dropped. */
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

  static @Nullable PlatformException unwrap(@Nullable Throwable failure) {
    if (failure == null) {
      return null;
    }
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof PlatformException platform
        ? platform
        : new PlatformException(PlatformException.Type.NO_ANSWER, "call failed: " + cause);
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("shard: Task failed.");
    }
  }
}
