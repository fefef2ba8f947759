package org.hickorymoor.daemon.shard;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/** The one thread that owns the state of a shard, and its clocks. Safe for use by any thread. */
public interface ShardEventLoop {

  /** Runs a task soon. */
  void execute(Runnable task);

  /** Runs a task after a delay. */
  void schedule(long delayMs, Runnable task);

  /** Returns the time of a clock that never goes back, in nanoseconds from any origin. */
  long nowNs();

  /** Returns the Unix time in milliseconds. */
  long nowMs();

  /** Returns the source of random delays. */
  Random random();

  /** Stops the loop; tasks that have not begun are dropped. */
  void stop();

  /**
   * Hands the outcome of a call to the platform to the loop's thread.
   *
   * @param future the call
   * @param handler takes the value, or the failure; one of them is null
   */
  default <T> void then(
      CompletableFuture<T> future, BiConsumer<@Nullable T, @Nullable PlatformException> handler) {
    var unused =
        future.whenComplete(
            (value, failure) -> execute(() -> handler.accept(value, unwrap(failure))));
  }

  /** Returns the failure of a call as what it means for the platform. */
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
