package org.hickorymoor.daemon.stream;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hickorymoor.protocol.platform.LogRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class LogFollowerTest {

  private static final FollowerSettings SETTINGS = new FollowerSettings(2, 10, 100, 1, 5);

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);
  private final FakeLog log = new FakeLog();
  private final List<Object> events = new CopyOnWriteArrayList<>();
  private final StreamContext context =
      new StreamContext(log, executor, () -> System.nanoTime() / 1_000_000, new MetricRegistry());
  private final StreamListener listener =
      new StreamListener() {
        @Override
        public void onRecord(LogRecord record) {
          events.add(record.data());
        }

        @Override
        public void onGap(StreamGap gap) {
          events.add(gap);
        }
      };
  private final LogFollower follower = new LogFollower(context, "s", 0, SETTINGS, listener);

  @AfterEach
  void stop() {
    follower.stop();
    executor.shutdownNow();
  }

  @Test
  void deliversEveryRecordOnceInOrder() {
    append("a", "b", "c", "d", "e");
    follower.start();

    await().until(() -> events.size() >= 5);
    append("f");
    await().until(() -> events.size() >= 6);

    assertThat(events).containsExactly("a", "b", "c", "d", "e", "f").inOrder();
  }

  @Test
  void reportsGapForRecordsDroppedByRetention() {
    append("a", "b", "c");
    log.dropBefore("s", 2);
    follower.start();

    await().until(() -> events.size() >= 2);

    assertThat(events).containsExactly(new StreamGap(0, 2), "c").inOrder();
  }

  @Test
  void fromTailStartsWithNewestRecords() {
    append("a", "b", "c", "d");
    LogFollower tail = LogFollower.fromTail(context, "s", 1, SETTINGS, listener);
    tail.start();
    await().until(() -> events.size() >= 2);
    append("e", "f", "g");
    await().until(() -> events.size() >= 5);
    tail.stop();

    assertThat(events).containsExactly(new StreamGap(0, 3), "d", "e", "f", "g").inOrder();
  }

  @Test
  void resumesAfterOutage() {
    append("a");
    follower.start();
    await().until(() -> events.size() == 1);
    log.setUnavailable(true);
    await().until(() -> follower.status().state() == FollowerStatus.State.OUT);
    append("lost");
    log.setUnavailable(false);
    append("b");

    await().until(() -> events.size() >= 2);

    assertThat(events).containsExactly("a", "b").inOrder();
    assertThat(follower.status().state()).isEqualTo(FollowerStatus.State.LIVE);
  }

  @Test
  void isNotCurrentBeforeFirstReply() {
    log.setUnavailable(true);
    follower.start();

    assertThat(follower.status().isCurrentWithin(0, Long.MAX_VALUE)).isFalse();
  }

  @Test
  void recordsStartOfReadThatReachedEnd() {
    final long beforeMs = System.nanoTime() / 1_000_000;
    append("a", "b", "c");
    follower.start();

    await().until(() -> follower.status().reachedEnd());

    FollowerStatus status = follower.status();
    assertThat(status.nextOffset()).isEqualTo(3);
    assertThat(status.lastEndReadStartedMs()).isAtLeast(beforeMs);
  }

  @Test
  void restartsAfterStop() {
    follower.start();
    follower.stop();
    append("a");
    follower.start();

    await().until(() -> events.size() >= 1);

    assertThat(events).containsExactly("a");
  }

  private void append(String... data) {
    for (String one : data) {
      var unused = log.append("s", one, 0);
    }
  }
}
