package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.junit.jupiter.api.Test;

final class HedgedAppendTest {

  private final VirtualTime time = new VirtualTime(1);
  private final ShardEventLoop loop = time.new HostEventLoop();
  private final LatencyEstimator latencies = new LatencyEstimator();
  private final List<CompletableFuture<Long>> calls = new ArrayList<>();

  private CompletableFuture<Long> send() {
    return HedgedAppend.send(
        loop,
        latencies,
        () -> {
          CompletableFuture<Long> call = new CompletableFuture<>();
          calls.add(call);
          return call;
        });
  }

  private void fail(int call, Type type) {
    calls.get(call).completeExceptionally(new PlatformException(type, type.name()));
    time.advance(1);
  }

  @Test
  void lateAppendIsHedgedOnce() {
    final CompletableFuture<Long> answer = send();
    time.advance(2_000);
    assertThat(calls).hasSize(2);

    calls.get(1).complete(7L);
    time.advance(1);
    assertThat(answer.isDone()).isTrue();
    assertThat(answer.join()).isEqualTo(7);
  }

  /**
   * Load pattern: the store takes 500 ms for each append. Once this latency is learned, no append
   * may be sent twice.
   */
  @Test
  void appendsToSlowStoreAreNotHedgedOnceItsLatencyIsLearned() {
    for (int i = 0; i < 20; i++) {
      int before = calls.size();
      send();
      time.advance(500);
      calls.get(before).complete(1L);
      time.advance(1);
    }

    assertThat(calls.size()).isAtMost(20 + 3);
  }

  @Test
  void refusedHedgeDoesNotHideThatFirstCallMayHaveTakenEffect() {
    final CompletableFuture<Long> answer = send();
    time.advance(200);
    fail(1, Type.REFUSED);
    assertThat(answer.isDone()).isFalse();
    fail(0, Type.NO_RESPONSE);

    answer.handle(
        (offset, failure) -> {
          assertThat(((PlatformException) failure).mayHaveTakenEffect()).isTrue();
          return 0;
        });
    assertThat(answer.isCompletedExceptionally()).isTrue();
  }

  @Test
  void refusalBeforeTheHedgeIsDefinite() {
    final CompletableFuture<Long> answer = send();
    fail(0, Type.REFUSED);
    time.advance(2_000);

    assertThat(calls).hasSize(1);
    assertThat(answer.isCompletedExceptionally()).isTrue();
  }
}
