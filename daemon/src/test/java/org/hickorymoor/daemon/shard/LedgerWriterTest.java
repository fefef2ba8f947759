package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.daemon.port.KeyedStream;
import org.junit.jupiter.api.Test;

final class LedgerWriterTest {

  private final VirtualTime time = new VirtualTime(3);
  private final FakeStore store = new FakeStore(time);
  private final List<String> stored = new ArrayList<>();
  private boolean fenced;

  private LedgerWriter writer(long epoch) {
    LedgerWriter writer =
        new LedgerWriter(
            time.new HostEventLoop(),
            store.port("h"),
            "writer",
            epoch,
            new ShardMetrics(new MetricRegistry()),
            () -> fenced = true);
    writer.open(() -> {});
    time.advance(50);
    return writer;
  }

  private void recordChange(LedgerWriter writer, String key) {
    writer.markDirty(key, () -> new byte[] {1});
    writer.runAfterStored(() -> stored.add(key));
  }

  @Test
  void changesAreBatchedWhileTheStoreIsFast() {
    LedgerWriter writer = writer(1);
    final int before = store.appends();
    for (int i = 0; i < 100; i++) {
      recordChange(writer, "job" + i);
      time.advance(1);
    }
    time.advance(50);

    assertThat(stored).hasSize(100);
    assertThat(store.appends() - before).isLessThan(40);
  }

  // Guards against one job whose handling fails unexpectedly and drops the callbacks of all others.
  @Test
  void laterCallbacksRunAlthoughOneFails() {
    LedgerWriter writer = writer(1);
    writer.runAfterStored(
        () -> {
          throw new IllegalStateException("callback fails");
        });
    recordChange(writer, "good");
    time.advance(50);
    recordChange(writer, "later");
    time.advance(50);

    assertThat(stored).containsExactly("good", "later").inOrder();
  }

  /**
   * Load pattern: the store takes 400 ms for each call while changes keep coming. A change must not
   * wait for the previous append, which alone would use up two thirds of the 600 ms that a queue
   * allows.
   */
  @Test
  void changeDoesNotWaitForTheAppendBeforeIt() {
    LedgerWriter writer = writer(1);
    store.answerMs(400);
    recordChange(writer, "first");
    time.advance(30);
    recordChange(writer, "second");

    assertThat(time.advanceUntil(500, () -> stored.contains("second"))).isTrue();
    assertThat(stored).containsExactly("first", "second").inOrder();
  }

  /** Load pattern: 30% of the answers to writes are lost. */
  @Test
  void lostAnswerDelaysChangeByLessThanTheTargetLatency() {
    LedgerWriter writer = writer(1);
    store.loseWriteAnswers(0.3, 0);
    int delayedChanges = 0;
    for (int i = 0; i < 200; i++) {
      String key = "job" + i;
      recordChange(writer, key);
      delayedChanges += time.advanceUntil(600, () -> stored.contains(key)) ? 0 : 1;
    }

    // Two answers in a row are lost for 9% of the changes, and the third answer may be lost as
    // well.
    assertThat(delayedChanges).isLessThan(200 * 15 / 100);
    assertThat(time.advanceUntil(20_000, () -> stored.size() == 200)).isTrue();
    assertThat(fenced).isFalse();
  }

  @Test
  void appendsThatAreExecutedLateHaveNoEffect() {
    LedgerWriter writer = writer(1);
    store.loseWriteAnswers(0.4, 1);
    List<String> all = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      all.add("job" + i);
      recordChange(writer, "job" + i);
      time.advance(40);
    }
    store.loseWriteAnswers(0, 0);

    assertThat(time.advanceUntil(30_000, () -> stored.size() == 200)).isTrue();
    assertThat(stored).containsExactlyElementsIn(all).inOrder();
    assertThat(store.keys(KeyedStream.LEDGER)).containsAtLeastElementsIn(all);
    assertThat(fenced).isFalse();
  }

  @Test
  void writerOfEarlierEpochIsFenced() {
    LedgerWriter old = writer(1);
    writer(2);

    recordChange(old, "job");
    time.advance(100);

    assertThat(fenced).isTrue();
    assertThat(stored).isEmpty();
  }
}
