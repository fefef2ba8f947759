package org.hickorymoor.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Helpers for waiting on futures during shutdown. */
final class Futures {

  private Futures() {}

  /**
   * Waits until the future completes, the timeout expires or the thread is interrupted. Cancels the
   * future on timeout, and keeps the interrupt flag set.
   */
  static void awaitOrCancel(CompletableFuture<Void> future, long timeoutMs) {
    try {
      future.get(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      future.cancel(false);
    }
  }
}
