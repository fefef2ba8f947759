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
final class HedgedAppend {

  /** Above the usual answer of 4 ms and the way to a far region and back, 60 ms. */
  private static final long MIN_REPEAT_AFTER_MS = 150;

  /** A slow store must not get every append twice, so an answer is late at four times the usual. */
  private static final int USUAL_TIMES = 4;

  private final ShardEventLoop loop;
  private final LatencyEstimator times;
  private final Supplier<CompletableFuture<Long>> call;
  private final CompletableFuture<Long> result = new CompletableFuture<>();
  private int unanswered;
  private @Nullable PlatformException uncertain;

  private HedgedAppend(
      ShardEventLoop loop, LatencyEstimator times, Supplier<CompletableFuture<Long>> call) {
    this.loop = loop;
    this.times = times;
    this.call = call;
  }

  /**
   * Appends.
   *
   * @param loop the thread to run on
   * @param times how long the store takes at present; learns from this append
   * @param call sends the append
   * @return the first answer; fails with a {@link PlatformException} that tells whether any of the
   *     calls may have taken effect
   */
  static CompletableFuture<Long> send(
      ShardEventLoop loop, LatencyEstimator times, Supplier<CompletableFuture<Long>> call) {
    HedgedAppend append = new HedgedAppend(loop, times, call);
    append.sendOnce(true);
    long afterMs = Math.max(MIN_REPEAT_AFTER_MS, USUAL_TIMES * times.usualMs());
    loop.schedule(afterMs, append::repeat);
    return append.result;
  }

  private void repeat() {
    if (unanswered > 0 && !result.isDone() && times.beginRepeat()) {
      sendOnce(false);
    }
  }

  private void sendOnce(boolean isFirst) {
    unanswered++;
    long sentNs = loop.nowNs();
    loop.then(
        call.get(),
        (offset, failure) -> {
          unanswered--;
          if (!isFirst) {
            times.endRepeat();
          }
          if (failure == null) {
            times.add(loop.nowNs() - sentNs);
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
