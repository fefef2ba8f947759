package org.hickorymoor.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits of services that stop. */
final class Futures {

  private Futures() {}

  /** Waits until the future completes, the time has passed or the thread is interrupted. */
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
