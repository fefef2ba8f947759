package org.hickorymoor.daemon.shard;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.jspecify.annotations.Nullable;

/**
 * Sends an append a second time if its answer is late, so that a lost answer costs little.
 *
 * <p>Only for appends that take effect once however often they are sent. Belongs to the thread of
 * the loop.
 */
final class RepeatedAppend {

  /** Above the usual answer of 4 ms and the way to a far region and back, 60 ms. */
  private static final long REPEAT_AFTER_MS = 150;

  private final ShardLoop loop;
  private final Supplier<CompletableFuture<Long>> call;
  private final CompletableFuture<Long> result = new CompletableFuture<>();
  private int unanswered;
  private @Nullable PlatformException uncertain;

  private RepeatedAppend(ShardLoop loop, Supplier<CompletableFuture<Long>> call) {
    this.loop = loop;
    this.call = call;
  }

  /**
   * Appends.
   *
   * @param loop the thread to run on
   * @param call sends the append
   * @return the first answer; fails with a {@link PlatformException} that tells whether any of the
   *     calls may have taken effect
   */
  static CompletableFuture<Long> send(ShardLoop loop, Supplier<CompletableFuture<Long>> call) {
    RepeatedAppend append = new RepeatedAppend(loop, call);
    append.sendOnce(true);
    loop.schedule(REPEAT_AFTER_MS, append::repeat);
    return append.result;
  }

  private void repeat() {
    if (unanswered > 0 && !result.isDone()) {
      sendOnce(false);
    }
  }

  private void sendOnce(boolean isFirst) {
    unanswered++;
    loop.then(
        call.get(),
        (offset, failure) -> {
          unanswered--;
          if (failure == null) {
            result.complete(offset);
          } else {
            onFailure(failure, isFirst);
          }
        });
  }

  private void onFailure(PlatformException failure, boolean isFirst) {
    if (failure.type() == Type.FENCED || failure.type() == Type.OUT_OF_ORDER) {
      result.completeExceptionally(failure);
      return;
    }
    if (failure.mayHaveTakenEffect()) {
      uncertain = failure;
    }
    boolean timeIsUp = isFirst && failure.mayHaveTakenEffect();
    if (unanswered == 0 || timeIsUp) {
      result.completeExceptionally(uncertain == null ? failure : uncertain);
    }
  }
}
