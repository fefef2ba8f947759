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
  private static final long MIN_HEDGE_DELAY_MS = 150;

  /** A slow store must not get every append twice, so an answer is late at four times the usual. */
  private static final int HEDGE_LATENCY_FACTOR = 4;

  private final ShardEventLoop loop;
  private final LatencyEstimator latencies;
  private final Supplier<CompletableFuture<Long>> call;
  private final CompletableFuture<Long> result = new CompletableFuture<>();
  private int callsInFlight;
  private @Nullable PlatformException ambiguousFailure;

  private HedgedAppend(
      ShardEventLoop loop, LatencyEstimator latencies, Supplier<CompletableFuture<Long>> call) {
    this.loop = loop;
    this.latencies = latencies;
    this.call = call;
  }

  /**
   * Appends.
   *
   * @param loop the thread to run on
   * @param latencies how long the store takes at present; learns from this append
   * @param call sends the append
   * @return the first answer; fails with a {@link PlatformException} that tells whether any of the
   *     calls may have taken effect
   */
  static CompletableFuture<Long> send(
      ShardEventLoop loop, LatencyEstimator latencies, Supplier<CompletableFuture<Long>> call) {
    HedgedAppend append = new HedgedAppend(loop, latencies, call);
    append.sendCall(true);
    long hedgeDelayMs = Math.max(MIN_HEDGE_DELAY_MS, HEDGE_LATENCY_FACTOR * latencies.smoothedMs());
    loop.schedule(hedgeDelayMs, append::hedge);
    return append.result;
  }

  private void hedge() {
    if (callsInFlight > 0 && !result.isDone() && latencies.tryStartHedge()) {
      sendCall(false);
    }
  }

  private void sendCall(boolean isFirst) {
    callsInFlight++;
    long sentNs = loop.nowNs();
    loop.then(
        call.get(),
        (offset, failure) -> {
          callsInFlight--;
          if (!isFirst) {
            latencies.hedgeCompleted();
          }
          if (failure == null) {
            latencies.record(loop.nowNs() - sentNs);
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
      ambiguousFailure = failure;
    }
    boolean firstCallTimedOut = isFirst && failure.mayHaveTakenEffect();
    if (callsInFlight == 0 || firstCallTimedOut) {
      result.completeExceptionally(ambiguousFailure == null ? failure : ambiguousFailure);
    }
  }
}
