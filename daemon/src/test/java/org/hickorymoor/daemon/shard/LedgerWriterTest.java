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
    time.pass(50);
    return writer;
  }

  private void change(LedgerWriter writer, String key) {
    writer.markDirty(key, () -> new byte[] {1});
    writer.runAfterStored(() -> stored.add(key));
  }

  @Test
  void appendsAreFewWhileTheStoreIsWell() {
    LedgerWriter writer = writer(1);
    final int before = store.appends();
    for (int i = 0; i < 100; i++) {
      change(writer, "job" + i);
      time.pass(1);
    }
    time.pass(50);

    assertThat(stored).hasSize(100);
    assertThat(store.appends() - before).isLessThan(40);
  }

  /**
   * Load pattern: the store takes 400 ms for each call and changes come all the time. A change must
   * not wait for the append before it: that alone would be two thirds of the 600 ms that a queue
   * allows.
   */
  @Test
  void changeDoesNotWaitForTheAppendBeforeIt() {
    LedgerWriter writer = writer(1);
    store.answerMs(400);
    change(writer, "first");
    time.pass(30);
    change(writer, "second");

    assertThat(time.passUntil(500, () -> stored.contains("second"))).isTrue();
    assertThat(stored).containsExactly("first", "second").inOrder();
  }

  /** Load pattern: three of ten answers of writes are lost. */
  @Test
  void lostAnswerDelaysChangeByLessThanTheTargetLatency() {
    LedgerWriter writer = writer(1);
    store.loseAnswers(0.3, 0);
    int late = 0;
    for (int i = 0; i < 200; i++) {
      String key = "job" + i;
      change(writer, key);
      late += time.passUntil(600, () -> stored.contains(key)) ? 0 : 1;
    }

    // Two answers in a row are lost for 9 of 100 changes, and the third call may be lost too.
    assertThat(late).isLessThan(200 * 15 / 100);
    assertThat(time.passUntil(20_000, () -> stored.size() == 200)).isTrue();
    assertThat(fenced).isFalse();
  }

  @Test
  void appendsThatAreExecutedLateChangeNothing() {
    LedgerWriter writer = writer(1);
    store.loseAnswers(0.4, 1);
    List<String> all = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      all.add("job" + i);
      change(writer, "job" + i);
      time.pass(40);
    }
    store.loseAnswers(0, 0);

    assertThat(time.passUntil(30_000, () -> stored.size() == 200)).isTrue();
    assertThat(stored).containsExactlyElementsIn(all).inOrder();
    assertThat(store.keys(KeyedStream.LEDGER)).containsAtLeastElementsIn(all);
    assertThat(fenced).isFalse();
  }

  @Test
  void writerOfEarlierEpochIsFenced() {
    LedgerWriter old = writer(1);
    writer(2);

    change(old, "job");
    time.pass(100);

    assertThat(fenced).isTrue();
    assertThat(stored).isEmpty();
  }
}
