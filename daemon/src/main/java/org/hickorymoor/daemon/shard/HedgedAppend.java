package org.hickorymoor.daemon.shard;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.jspecify.annotations.Nullable;

/**
 * Hedges an append: sends it a second time if its answer is late, so that a lost answer costs
 * little time.
 *
 * <p>Only for appends that take effect once however often they are sent. Not thread-safe; confined
 * to the event loop thread.
 */
final class HedgedAppend {

  /** Exceeds the usual latency of 4 ms plus the 60 ms round trip to a far region. */
  private static final long MIN_HEDGE_DELAY_MS = 150;

  /**
   * An answer is late at this multiple of the smoothed latency, so that a slow store does not
   * receive every append twice.
   */
  private static final int HEDGE_LATENCY_FACTOR = 4;

  private final ShardEventLoop loop;
  private final LatencyEstimator latencies;
  private final Supplier<CompletableFuture<Long>> call;
  private final Supplier<CompletableFuture<Boolean>> mayHedge;
  private final CompletableFuture<Long> result = new CompletableFuture<>();
  private int callsInFlight;
  private @Nullable PlatformException ambiguousFailure;

  private HedgedAppend(
      ShardEventLoop loop,
      LatencyEstimator latencies,
      Supplier<CompletableFuture<Long>> call,
      Supplier<CompletableFuture<Boolean>> mayHedge) {
    this.loop = loop;
    this.latencies = latencies;
    this.call = call;
    this.mayHedge = mayHedge;
  }

  /**
   * Sends an append, and a second time if its answer is late.
   *
   * @param loop event loop to run on
   * @param latencies latency of recent appends; updated by this one
   * @param call sends the append
   * @return the first answer; fails with a {@link PlatformException} that tells whether any of the
   *     calls may have taken effect
   */
  static CompletableFuture<Long> send(
      ShardEventLoop loop, LatencyEstimator latencies, Supplier<CompletableFuture<Long>> call) {
    return send(loop, latencies, call, () -> CompletableFuture.completedFuture(true));
  }

  /**
   * Sends an append, and a second time if its answer is late and a check allows it.
   *
   * @param mayHedge checks when the answer is late whether a second call is useful; never fails
   */
  static CompletableFuture<Long> send(
      ShardEventLoop loop,
      LatencyEstimator latencies,
      Supplier<CompletableFuture<Long>> call,
      Supplier<CompletableFuture<Boolean>> mayHedge) {
    HedgedAppend append = new HedgedAppend(loop, latencies, call, mayHedge);
    append.sendCall(true);
    long hedgeDelayMs = Math.max(MIN_HEDGE_DELAY_MS, HEDGE_LATENCY_FACTOR * latencies.smoothedMs());
    loop.schedule(hedgeDelayMs, append::hedge);
    return append.result;
  }

  private void hedge() {
    if (callsInFlight > 0 && !result.isDone()) {
      var unused = mayHedge.get().thenAccept(this::hedgeIf);
    }
  }

  private void hedgeIf(boolean allowed) {
    if (allowed && callsInFlight > 0 && !result.isDone() && latencies.tryStartHedge()) {
      sendCall(false);
    }
  }

  private void sendCall(boolean isFirstCall) {
    callsInFlight++;
    long sentNs = loop.nowNs();
    loop.then(
        call.get(),
        (offset, failure) -> {
          callsInFlight--;
          if (!isFirstCall) {
            latencies.hedgeCompleted();
          }
          if (failure == null) {
            latencies.record(loop.nowNs() - sentNs);
            result.complete(offset);
          } else {
            onFailure(failure, isFirstCall);
          }
        });
  }

  private void onFailure(PlatformException failure, boolean isFirstCall) {
    if (failure.type() == Type.FENCED || failure.type() == Type.OUT_OF_ORDER) {
      result.completeExceptionally(failure);
      return;
    }
    if (failure.mayHaveTakenEffect()) {
      ambiguousFailure = failure;
    }
    boolean firstCallTimedOut = isFirstCall && failure.mayHaveTakenEffect();
    if (callsInFlight == 0 || firstCallTimedOut) {
      result.completeExceptionally(ambiguousFailure == null ? failure : ambiguousFailure);
    }
  }
}
