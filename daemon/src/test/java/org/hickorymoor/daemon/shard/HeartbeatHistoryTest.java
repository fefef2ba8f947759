package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class HeartbeatHistoryTest {

  private static final long AFTER_TERM_MS = HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS;

  /** Upper bound of the lease of a worker, on other clocks. */
  private static final long LEASE_MS = HeartbeatHistory.maxElapsedMs(6_000);

  /** Longer than any heartbeat is retained. */
  private static final long LONG_MS = 3 * AFTER_TERM_MS;

  private final VirtualTime time = new VirtualTime(11);
  private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
  private final HeartbeatHistory history = new HeartbeatHistory(loop, 6_000);

  private static CoordinatorRecord heartbeat(String hostId, long epoch) {
    return new CoordinatorRecord(epoch, hostId, hostId, "nonce", false, 0);
  }

  /** Observes a heartbeat at a time. */
  private void observe(long atMs, long epoch, long offset) {
    observe(atMs, "a", epoch, offset);
  }

  private void observe(long atMs, String hostId, long epoch, long offset) {
    time.advance(atMs - time.nowMs());
    history.onObserved(heartbeat(hostId, epoch), offset);
  }

  private void start(String hostId, long newestEpoch, long startedMs) {
    history.onHostStarted(hostId, newestEpoch, TimeUnit.MILLISECONDS.toNanos(startedMs));
  }

  private void bound(long epoch, long endMs) {
    history.onLeasesBounded(epoch, TimeUnit.MILLISECONDS.toNanos(endMs));
  }

  private long appendedByMs(long offset) {
    return TimeUnit.NANOSECONDS.toMillis(history.appendedByNs(offset));
  }

  private long formerLeasesEndMs(long epoch) {
    return TimeUnit.NANOSECONDS.toMillis(history.formerLeasesEndNs(epoch));
  }

  @Test
  void observedHeartbeatWasAppendedByItsObservation() {
    observe(100, 1, 5);
    observe(500, 1, 6);
    observe(900, 1, 7);
    time.advance(50);

    assertThat(appendedByMs(5)).isEqualTo(100);
    assertThat(appendedByMs(6)).isEqualTo(500);
    assertThat(appendedByMs(7)).isEqualTo(900);
  }

  @Test
  void missedHeartbeatWasAppendedByTheNextObservation() {
    observe(100, 1, 5);
    observe(900, 1, 8);

    assertThat(appendedByMs(6)).isEqualTo(900);
    assertThat(appendedByMs(7)).isEqualTo(900);
  }

  @Test
  void heartbeatBeforeTheFirstObservationWasAppendedByIt() {
    observe(100, 1, 5);
    observe(500, 1, 6);

    assertThat(appendedByMs(2)).isEqualTo(100);
  }

  @Test
  void heartbeatThatIsNotObservedYetWasAppendedByNow() {
    time.advance(50);
    assertThat(appendedByMs(6)).isEqualTo(50);

    observe(100, 1, 5);
    time.advance(700);
    assertThat(appendedByMs(6)).isEqualTo(800);
  }

  @Test
  void formerLeasesAreCountedFromTheLastHeartbeatOfTheFormerTerm() {
    observe(100, 1, 5);
    observe(500, 1, 6);
    observe(2_000, 2, 7);
    observe(2_400, 2, 8);

    assertThat(formerLeasesEndMs(2)).isEqualTo(500 + AFTER_TERM_MS);
  }

  @Test
  void formerLeasesAreCountedFromTheNextTermIfAnOffsetBeforeItIsMissing() {
    observe(500, 1, 6);
    observe(2_000, 2, 8);
    observe(2_400, 2, 9);

    assertThat(formerLeasesEndMs(2)).isEqualTo(2_000 + AFTER_TERM_MS);
  }

  @Test
  void missingOffsetWithinTheFormerTermDoesNotLengthenTheWait() {
    observe(100, 1, 3);
    observe(500, 1, 6);
    observe(2_000, 2, 7);

    assertThat(formerLeasesEndMs(2)).isEqualTo(500 + AFTER_TERM_MS);
  }

  @Test
  void formerLeasesAreCountedFromTheFirstObservationIfNoFormerTermIsObserved() {
    observe(2_000, 2, 8);
    observe(2_400, 2, 9);

    assertThat(formerLeasesEndMs(2)).isEqualTo(2_000 + AFTER_TERM_MS);
  }

  @Test
  void formerLeasesAreCountedFromNowIfNoHeartbeatIsObserved() {
    time.advance(300);

    assertThat(formerLeasesEndMs(2)).isEqualTo(300 + AFTER_TERM_MS);
  }

  @Test
  void formerLeasesAreCountedFromNowWhileOnlyFormerTermsAreObserved() {
    observe(500, 1, 6);
    time.advance(400);

    assertThat(formerLeasesEndMs(2)).isEqualTo(900 + AFTER_TERM_MS);
  }

  @Test
  void formerLeasesAreCountedFromTheLatestOfSeveralFormerTerms() {
    observe(500, 1, 6);
    observe(2_000, 2, 7);
    observe(2_400, 2, 8);
    observe(4_000, 4, 9);

    assertThat(formerLeasesEndMs(4)).isEqualTo(2_400 + AFTER_TERM_MS);
    assertThat(formerLeasesEndMs(2)).isEqualTo(500 + AFTER_TERM_MS);
  }

  @Test
  void outOfOrderOffsetsAreIgnored() {
    observe(100, 1, 5);
    observe(500, 1, 7);
    observe(900, 1, 6);
    observe(950, 1, 7);
    observe(2_000, 2, 8);
    observe(2_100, 1, 4);

    assertThat(appendedByMs(4)).isEqualTo(100);
    assertThat(appendedByMs(6)).isEqualTo(500);
    assertThat(appendedByMs(7)).isEqualTo(500);
    assertThat(formerLeasesEndMs(2)).isEqualTo(500 + AFTER_TERM_MS);
  }

  @Test
  void confirmationOfAnObservedHeartbeatKeepsItsObservation() {
    observe(100, 1, 5);
    time.advance(200);
    history.onConfirmed(heartbeat("a", 1), 5, TimeUnit.MILLISECONDS.toNanos(90));

    assertThat(appendedByMs(5)).isEqualTo(100);
    assertThat(history.confirmedOffset()).isEqualTo(5);
    assertThat(history.confirmedSentNs()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(90));
  }

  @Test
  void confirmedHeartbeatCountsAsObserved() {
    time.advance(100);
    history.onConfirmed(heartbeat("a", 1), 5, TimeUnit.MILLISECONDS.toNanos(90));
    time.advance(700);

    assertThat(appendedByMs(5)).isEqualTo(100);
  }

  @Test
  void suspensionBeforeAnObservationDoesNotLengthenItsBound() {
    loop.suspend(2_000);
    observe(2_500, 1, 5);

    assertThat(history.appendedByNs(5)).isEqualTo(loop.nowNs());
  }

  @Test
  void observedHeartbeatOfOtherHostIsNotConfirmed() {
    history.onConfirmed(heartbeat("a", 1), 5, 7);
    observe(100, 2, 6);

    assertThat(history.confirmedOffset()).isEqualTo(5);
    assertThat(history.confirmedSentNs()).isEqualTo(7);
  }

  @Test
  void droppedHeartbeatsNeverShortenBounds() {
    observe(0, 1, 0);
    observe(400, 2, 1);
    long endsMs = formerLeasesEndMs(2);
    for (long offset = 2; offset * 400 < LONG_MS; offset++) {
      observe(offset * 400, 2, offset);

      assertThat(formerLeasesEndMs(2)).isAtLeast(endsMs);
      for (long earlier = 0; earlier <= offset; earlier++) {
        assertThat(appendedByMs(earlier)).isAtLeast(earlier * 400);
      }
    }
    // Shows that heartbeats were dropped.
    assertThat(appendedByMs(0)).isGreaterThan(0);
  }

  @Test
  void heartbeatsOfLeasesThatMayBeValidAreRetained() {
    observe(0, 1, 0);
    observe(400, 2, 1);
    for (long offset = 2; offset * 400 < AFTER_TERM_MS; offset++) {
      observe(offset * 400, 2, offset);
    }

    assertThat(formerLeasesEndMs(2)).isEqualTo(AFTER_TERM_MS);
  }

  @Test
  void historyFromTheFirstOffsetOnWaitsForNoTermBeforeIt() {
    observe(500, 2, 0);
    observe(900, 2, 1);
    assertThat(formerLeasesEndMs(2)).isEqualTo(500);

    observe(2_000, 3, 2);
    assertThat(formerLeasesEndMs(3)).isEqualTo(900 + AFTER_TERM_MS);
  }

  @Test
  void startOfHostEndsTheLeasesOfItsTermOneLeaseLater() {
    observe(0, "a", 1, 0);
    observe(400, "a", 1, 1);
    observe(2_000, "b", 2, 2);
    assertThat(formerLeasesEndMs(2)).isEqualTo(400 + AFTER_TERM_MS);

    start("a", 1, 1_000);
    assertThat(formerLeasesEndMs(2)).isEqualTo(1_000 + LEASE_MS);
  }

  // Guards against a proof for one term that ends the wait for another one, whose heartbeats were
  // missed.
  @Test
  void startOfHostProvesNothingWhereHeartbeatsWereMissedBeforeTheNextTerm() {
    observe(0, "a", 1, 0);
    observe(2_000, "b", 3, 5);
    start("a", 1, 1_000);

    assertThat(formerLeasesEndMs(3)).isEqualTo(2_000 + AFTER_TERM_MS);
  }

  @Test
  void startOfOtherHostProvesNothing() {
    observe(0, "a", 1, 0);
    observe(400, "b", 2, 1);
    final long shortenedNs = history.shortenedNs();
    time.advance(100);
    start("c", 9, 300);
    start("aa", 9, 300);
    start("", 9, 300);

    assertThat(formerLeasesEndMs(2)).isEqualTo(AFTER_TERM_MS);
    assertThat(history.shortenedNs()).isEqualTo(shortenedNs);

    // The successor itself has ended, which says nothing about the term before.
    start("b", 2, 450);
    assertThat(formerLeasesEndMs(2)).isEqualTo(AFTER_TERM_MS);
  }

  @Test
  void startWithOlderEpochThanTheTermProvesNothing() {
    observe(0, "a", 3, 0);
    observe(400, "b", 4, 1);
    final long shortenedNs = history.shortenedNs();
    time.advance(100);
    start("a", 2, 300);
    start("a", 0, 300);
    start("a", -1, 300);

    assertThat(formerLeasesEndMs(4)).isEqualTo(AFTER_TERM_MS);
    assertThat(history.shortenedNs()).isEqualTo(shortenedNs);

    start("a", 3, 300);
    assertThat(formerLeasesEndMs(4)).isEqualTo(300 + LEASE_MS);
    assertThat(history.shortenedNs()).isEqualTo(loop.nowNs());
  }

  @Test
  void startEndsTheTermsOfItsHostUpToTheEpochThatItFound() {
    observe(0, "a", 1, 0);
    observe(1_000, "b", 2, 1);
    observe(1_100, "a", 3, 2);
    observe(3_000, "c", 4, 3);

    start("a", 1, 900);
    assertThat(formerLeasesEndMs(2)).isEqualTo(900 + LEASE_MS);
    assertThat(formerLeasesEndMs(3)).isEqualTo(1_000 + AFTER_TERM_MS);
    assertThat(formerLeasesEndMs(4)).isEqualTo(1_100 + AFTER_TERM_MS);

    start("b", 3, 2_600);
    assertThat(formerLeasesEndMs(3)).isEqualTo(2_600 + LEASE_MS);
    assertThat(formerLeasesEndMs(4)).isEqualTo(1_100 + AFTER_TERM_MS);

    start("a", 3, 2_500);
    assertThat(formerLeasesEndMs(2)).isEqualTo(900 + LEASE_MS);
    assertThat(formerLeasesEndMs(4)).isEqualTo(2_600 + LEASE_MS);
  }

  @Test
  void startNeitherEndsLeasesBeforeOneLeaseHasPassedNorLengthensTheWait() {
    observe(0, "a", 1, 0);
    observe(400, "b", 2, 1);
    for (long startedMs = 2 * AFTER_TERM_MS; startedMs >= 0; startedMs -= 100) {
      start("a", 1, startedMs);

      assertThat(formerLeasesEndMs(2)).isEqualTo(Math.min(AFTER_TERM_MS, startedMs + LEASE_MS));
    }
  }

  @Test
  void earliestStartThatProvesTheEndCounts() {
    observe(0, "a", 1, 0);
    observe(400, "b", 2, 1);
    start("a", 1, 300);
    final long shortenedNs = history.shortenedNs();
    time.advance(100);
    start("a", 1, 350);
    start("a", 1, 300);

    assertThat(formerLeasesEndMs(2)).isEqualTo(300 + LEASE_MS);
    assertThat(history.shortenedNs()).isEqualTo(shortenedNs);
  }

  @Test
  void startDoesNotEndLeasesOfTermsBeforeTheFirstObservation() {
    observe(100, "a", 1, 5);
    observe(400, "b", 2, 6);
    start("a", 1, 300);

    assertThat(formerLeasesEndMs(2)).isEqualTo(100 + AFTER_TERM_MS);
  }

  @Test
  void storedBoundEndsLeasesOfTermsBeforeTheFirstObservation() {
    observe(2_000, "b", 3, 8);
    time.advance(100);
    bound(3, 5_000);
    assertThat(formerLeasesEndMs(3)).isEqualTo(5_000);
    assertThat(history.shortenedNs()).isEqualTo(loop.nowNs());

    bound(4, 6_000);
    assertThat(formerLeasesEndMs(3)).isEqualTo(6_000);

    bound(3, 3_000 + AFTER_TERM_MS);
    assertThat(formerLeasesEndMs(3)).isEqualTo(2_000 + AFTER_TERM_MS);
  }

  @Test
  void storedBoundIsNotUsedIfTermAfterItIsUnknown() {
    observe(2_000, "b", 3, 8);
    bound(2, 5_000);

    assertThat(formerLeasesEndMs(3)).isEqualTo(2_000 + AFTER_TERM_MS);
  }

  @Test
  void storedBoundDoesNotEndLeasesOfObservedTerms() {
    observe(2_000, "b", 3, 8);
    observe(2_400, "b", 3, 9);
    observe(4_000, "c", 4, 10);
    bound(3, 3_000);

    assertThat(formerLeasesEndMs(3)).isEqualTo(3_000);
    assertThat(formerLeasesEndMs(4)).isEqualTo(2_400 + AFTER_TERM_MS);

    start("b", 3, 3_500);
    assertThat(formerLeasesEndMs(4)).isEqualTo(3_500 + LEASE_MS);
  }
}
