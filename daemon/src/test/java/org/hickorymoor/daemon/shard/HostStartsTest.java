package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.KeyedLogPort.Page;
import org.hickorymoor.daemon.port.KeyedStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HostStartsTest {

  private static final long WORKER_LEASE_MS = 6_000;
  private static final long LEASE_MS = HeartbeatHistory.maxElapsedMs(WORKER_LEASE_MS);
  private static final long AFTER_TERM_MS = HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS;

  /** Longer than the store takes to execute an unanswered write. */
  private static final long LATE_WRITE_MS = 6_000;

  /** How long a read of the store takes, and a task of the loop after it. */
  private static final long READ_MS = 5;

  private final VirtualTime time = new VirtualTime(23);
  private final FakeStore store = new FakeStore(time);
  private final Host former = new Host("a");
  private final Host successor = new Host("b");

  /** A host that has observed that host b took over from host a. */
  private final class Host {
    private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
    private final HeartbeatHistory history = new HeartbeatHistory(loop, WORKER_LEASE_MS);
    private final HostStarts starts;

    Host(String id) {
      ShardSettings settings =
          new ShardSettings(
              id, "d", id, WORKER_LEASE_MS, FakeWorkers.HEARTBEAT_MS, FakeWorkers.DRAIN_MS, 1);
      starts = new HostStarts(loop, store.port(id), settings, history);
      history.onObserved(new CoordinatorRecord(1, "a", "a", "nonce", false, 0), 0);
      history.onObserved(new CoordinatorRecord(2, "b", "b", "nonce", false, 0), 1);
    }

    long formerLeasesEndMs() {
      return TimeUnit.NANOSECONDS.toMillis(history.formerLeasesEndNs(2));
    }

    void refresh() {
      starts.refresh();
      time.advance(READ_MS);
    }
  }

  private boolean hasStored() {
    return !store.keys(KeyedStream.HOST_STARTS).isEmpty();
  }

  /** Returns the stored starts, as host and value. */
  private List<String> stored() {
    CompletableFuture<Page> read =
        store.port("reader").readNewest(KeyedStream.HOST_STARTS, null, 1_000);
    assertThat(time.advanceUntil(1_000, read::isDone)).isTrue();
    return read.join().records().stream()
        .map(stored -> stored.key() + "\n" + new String(stored.value(), UTF_8))
        .toList();
  }

  @Test
  void startIsStoredOnceWithTheEpochAndItsAge() {
    time.advance(1_000);
    former.starts.start();
    time.advance(300);
    former.starts.announce(1);
    time.advance(50);
    assertThat(stored()).containsExactly("a\n1\n300");

    former.starts.announce(1);
    former.starts.announce(7);
    time.advance(5_000);
    assertThat(stored()).containsExactly("a\n1\n300");
    assertThat(store.appends()).isEqualTo(1);
  }

  @Test
  void startIsNotAnnouncedAgainWhileTheFirstAnnouncementIsRepeated() {
    store.setUnresponsive(true);
    former.starts.start();
    former.starts.announce(1);
    time.advance(1_500);
    former.starts.announce(7);
    store.setUnresponsive(false);
    time.advance(5_000);

    List<String> starts = stored();
    assertThat(starts).hasSize(1);
    assertThat(starts.get(0)).startsWith("a\n1\n");
  }

  @Test
  void startIsStoredWithLargerAgeAfterTheStoreHasNotAnswered() {
    time.advance(1_000);
    former.starts.start();
    time.advance(300);
    store.setUnresponsive(true);
    former.starts.announce(1);
    time.advance(2_000);
    assertThat(hasStored()).isFalse();

    store.setUnresponsive(false);
    time.advance(5_000);
    long retryMs = ShardSettings.STORE_TIMEOUT_MS + ShardSettings.STORE_RETRY_MS;
    assertThat(stored()).containsExactly("a\n1\n" + (300 + 2 * retryMs));
    assertThat(store.appends()).isEqualTo(3);
  }

  @Test
  void startIsStoredWithLargerAgeAfterTheStoreHasRefusedTheHost() {
    former.starts.start();
    store.refuseHost("a", true);
    former.starts.announce(1);
    time.advance(1_000);
    store.refuseHost("a", false);
    time.advance(1_000);

    List<String> starts = stored();
    assertThat(starts).hasSize(1);
    assertThat(starts.get(0)).startsWith("a\n1\n");
    assertThat(Long.parseLong(starts.get(0).substring("a\n1\n".length()))).isAtLeast(990);
  }

  // Guards against a wait for leases that starts anew since the store has executed the write of a
  // former process of the host after that of the latest one.
  @Test
  void startOfFormerProcessThatIsStoredLateDoesNotReplaceTheLatest() {
    store.loseWriteAnswers(1, 1);
    former.starts.start();
    former.starts.announce(1);
    time.advance(READ_MS);
    former.loop.kill();
    store.loseWriteAnswers(0, 0);

    Host latest = new Host("a");
    latest.starts.start();
    latest.starts.announce(2);
    time.advance(LATE_WRITE_MS);
    assertThat(stored()).containsExactly("a\n2\n0");
  }

  @Test
  void stoppedHostDoesNotRepeatTheAnnouncement() {
    store.setUnresponsive(true);
    former.starts.start();
    former.starts.announce(1);
    time.advance(500);
    former.starts.stop();
    store.setUnresponsive(false);
    time.advance(5_000);

    assertThat(stored()).isEmpty();
    assertThat(store.appends()).isEqualTo(1);
  }

  @Test
  void startThatOtherHostReadsShortensItsWait() {
    time.advance(1_000);
    former.starts.start();
    time.advance(300);
    former.starts.announce(1);
    time.advance(200);
    assertThat(successor.formerLeasesEndMs()).isEqualTo(AFTER_TERM_MS);
    long readMs = time.nowMs();
    successor.refresh();

    assertThat(successor.formerLeasesEndMs()).isAtLeast(1_000 + LEASE_MS);
    assertThat(successor.formerLeasesEndMs()).isAtMost(readMs + READ_MS - 300 + LEASE_MS);
    assertThat(successor.formerLeasesEndMs()).isLessThan(AFTER_TERM_MS);
  }

  @Test
  void startThatWasStoredLateShortensTheWaitByTheAgeOfTheRepeat() {
    time.advance(1_000);
    former.starts.start();
    store.setUnresponsive(true);
    former.starts.announce(1);
    time.advance(2_000);
    store.setUnresponsive(false);
    assertThat(time.advanceUntil(5_000, this::hasStored)).isTrue();
    successor.refresh();

    assertThat(successor.formerLeasesEndMs()).isAtLeast(1_000 + LEASE_MS);
    assertThat(successor.formerLeasesEndMs()).isAtMost(1_000 + 2 * READ_MS + LEASE_MS);
  }

  @Test
  void startBeforeTheTermOfTheHostDoesNotShortenTheWait() {
    former.starts.start();
    former.starts.announce(0);
    time.advance(200);
    successor.refresh();

    assertThat(successor.formerLeasesEndMs()).isEqualTo(AFTER_TERM_MS);
  }

  @Test
  void suspensionOfTheStartedHostDoesNotShortenTheWaitBelowOneLease() {
    time.advance(1_000);
    former.starts.start();
    former.loop.suspend(700);
    time.advance(800);
    former.starts.announce(1);
    time.advance(200);
    successor.refresh();

    assertThat(stored()).containsExactly("a\n1\n100");
    assertThat(successor.formerLeasesEndMs()).isAtLeast(1_000 + LEASE_MS);
  }

  @Test
  void startsAreReadAgainOnlyAfterSomeTime() {
    successor.refresh();
    former.starts.start();
    former.starts.announce(1);
    time.advance(400);
    successor.refresh();
    assertThat(successor.formerLeasesEndMs()).isEqualTo(AFTER_TERM_MS);

    time.advance(100);
    successor.refresh();
    assertThat(successor.formerLeasesEndMs()).isLessThan(AFTER_TERM_MS);
  }

  @Test
  void startsAreReadOnceTheStoreAnswersAgain() {
    former.starts.start();
    former.starts.announce(1);
    time.advance(200);
    store.setUnresponsive(true);
    successor.starts.refresh();
    time.advance(3_000);
    successor.starts.refresh();
    store.setUnresponsive(false);

    assertThat(time.advanceUntil(5_000, () -> successor.formerLeasesEndMs() < AFTER_TERM_MS))
        .isTrue();
    assertThat(successor.formerLeasesEndMs()).isAtLeast(LEASE_MS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "1", "1\n", "\n1", "1\nx", "x\n1", "1\n99999999999999999999"})
  void malformedStartDoesNotShortenTheWait(String value) {
    store.put(KeyedStream.HOST_STARTS, "a", value.getBytes(UTF_8));
    successor.refresh();

    assertThat(successor.formerLeasesEndMs()).isEqualTo(AFTER_TERM_MS);
  }

  @Test
  void malformedStartDoesNotKeepOthersFromBeingRead() {
    store.put(KeyedStream.HOST_STARTS, "0", "x".getBytes(UTF_8));
    store.put(KeyedStream.HOST_STARTS, "a", "1\n0".getBytes(UTF_8));
    successor.refresh();

    assertThat(successor.formerLeasesEndMs()).isEqualTo(READ_MS - 1 + LEASE_MS);
  }

  @Test
  void negativeAgeCountsAsNone() {
    store.put(KeyedStream.HOST_STARTS, "a", "1\n-4000".getBytes(UTF_8));
    successor.refresh();

    assertThat(successor.formerLeasesEndMs()).isEqualTo(READ_MS - 1 + LEASE_MS);
  }
}
