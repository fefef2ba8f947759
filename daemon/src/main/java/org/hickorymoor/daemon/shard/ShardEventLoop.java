package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/** The single thread that owns the state of a shard, with its clocks. Thread-safe. */
public interface ShardEventLoop {

  /** Runs a task on the loop's thread as soon as possible. */
  void execute(Runnable task);

  /** Runs a task on the loop's thread after a delay. */
  void schedule(long delayMs, Runnable task);

  /** Returns the time of a monotonic clock, in nanoseconds from an arbitrary origin. */
  long nowNs();

  /** Returns the Unix time in milliseconds. */
  long nowMs();

  /** Returns the source of random delays. */
  Random random();

  /** Stops the loop; tasks that have not started are dropped. */
  void stop();

  /**
   * Passes the result of a call to the platform to a handler on the loop's thread.
   *
   * @param future the call
   * @param handler receives the value or the failure; the other one is null
   */
  default <T> void then(
      CompletableFuture<T> future, BiConsumer<@Nullable T, @Nullable PlatformException> handler) {
    var unused =
        future.whenComplete(
            (value, failure) -> execute(() -> handler.accept(value, unwrap(failure))));
  }

  /**
   * Runs a task and logs an unexpected exception, so that what follows the task still runs.
   *
   * @param task the task
   * @param subject what the task handles, for the log
   * @return whether the task completed
   */
  static boolean runIsolated(Runnable task, String subject) {
    try {
      task.run();
      return true;
    } catch (RuntimeException e) {
      FluentLogger.forEnclosingClass()
          .atSevere()
          .withCause(e)
          .log("shard: Handling %s failed.", subject);
      return false;
    }
  }

  /** Returns the failure of a call as a {@link PlatformException}, or null if it succeeded. */
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
        : new PlatformException(PlatformException.Type.NO_RESPONSE, "call failed: " + cause);
  }
}
