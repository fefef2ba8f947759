package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hickorymoor.daemon.shard.SimulatedTerms.APPEND_MS;
import static org.hickorymoor.daemon.shard.SimulatedTerms.WORKER;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.shard.SimulatedTerms.Host;
import org.hickorymoor.daemon.shard.SimulatedTerms.Term;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LeaseBoundsTest {

  private static final String KEY = "lease:" + WORKER;

  /** How much later than the lease a bound may end for a host that observed all heartbeats. */
  private static final long TOLERANCE_MS = 300;

  private final VirtualTime time = new VirtualTime(13);
  private final FakeStore store = new FakeStore(time);
  private final SimulatedTerms terms = new SimulatedTerms(time, store);
  private final List<String> removed = new ArrayList<>();

  private boolean isInLedger() {
    return store.keys(KeyedStream.LEDGER).contains(KEY);
  }

  private void remove(Term term) {
    term.bounds().remove(WORKER, () -> removed.add(WORKER));
  }

  private static void assertEndsWithin(Term successor, long trueEndMs, long toleranceMs) {
    assertThat(successor.formerLeaseEndsMs(WORKER)).isAtLeast(trueEndMs);
    assertThat(successor.formerLeaseEndsMs(WORKER)).isAtMost(trueEndMs + toleranceMs);
  }

  @Test
  void successorReadsTheEndOfTheLease() {
    Host next = terms.new Host();
    Term first = terms.new Host().elect(1);
    first.grantAndStore();
    first.beat();

    Term second = next.elect(2);

    assertThat(second.bounds().isStored(WORKER)).isTrue();
    assertEndsWithin(second, first.trueEndMs(), TOLERANCE_MS);
    // Shows that the wait without a bound is longer.
    assertThat(second.formerLeaseEndsMs("other")).isGreaterThan(first.trueEndMs() + TOLERANCE_MS);
  }

  @Test
  void boundOutlivesSeveralTakeovers() {
    Host next = terms.new Host();
    final Host last = terms.new Host();
    Term first = terms.new Host().elect(1);
    first.grantAndStore();
    Term second = next.elect(2);
    for (int i = 0; i < 4; i++) {
      second.beat();
      second.bounds().storeFormer(WORKER);
    }
    time.advance(50);

    assertEndsWithin(last.elect(3), first.trueEndMs(), TOLERANCE_MS);
  }

  @Test
  void nothingIsStoredBeforeHeartbeatSentAfterTheGrantIsConfirmed() {
    Term term = terms.new Host().elect(1);
    term.beat();
    term.grant();
    time.advance(10);
    term.store();
    term.sendHeartbeat();
    time.advance(APPEND_MS - 1);
    term.store();
    assertThat(term.bounds().isStored(WORKER)).isFalse();
    time.advance(500);
    assertThat(isInLedger()).isFalse();

    term.store();
    time.advance(50);
    assertThat(isInLedger()).isTrue();
  }

  @Test
  void heartbeatSentBeforeTheGrantButConfirmedAfterItDoesNotCount() {
    Term term = terms.new Host().elect(1);
    term.sendHeartbeat();
    time.advance(1);
    term.grant();
    time.advance(50);
    term.store();
    time.advance(50);

    assertThat(isInLedger()).isFalse();
  }

  @Test
  void formerBoundIsNotStoredBeforeHeartbeatSentAfterTheElection() {
    Term term = terms.new Host().elect(1);
    term.bounds().storeFormer(WORKER);
    time.advance(50);
    assertThat(isInLedger()).isFalse();

    term.beat();
    term.bounds().storeFormer(WORKER);
    time.advance(50);
    assertThat(isInLedger()).isTrue();
  }

  @Test
  void boundCountsAsStoredUntilItsRemovalIsStored() {
    Term term = terms.new Host().elect(1);
    term.grantAndStore();
    store.setUnresponsive(true);
    remove(term);
    time.advance(5_000);
    assertThat(term.bounds().isStored(WORKER)).isTrue();
    assertThat(removed).isEmpty();
    assertThat(isInLedger()).isTrue();

    store.setUnresponsive(false);
    assertThat(time.advanceUntil(5_000, () -> !removed.isEmpty())).isTrue();
    assertThat(term.bounds().isStored(WORKER)).isFalse();
    assertThat(isInLedger()).isFalse();
  }

  @Test
  void everyCallerThatRemovesTheBoundIsToldOnce() {
    Term term = terms.new Host().elect(1);
    term.grantAndStore();
    remove(term);
    remove(term);
    time.advance(500);

    assertThat(removed).hasSize(2);
  }

  @Test
  void removalByConditionLeavesTheOtherBounds() {
    store.put(KeyedStream.LEDGER, "lease:other", "1\n3\n5000".getBytes(UTF_8));
    Term term = terms.new Host().elect(1);
    term.grantAndStore();
    term.bounds().removeIf(WORKER::equals);
    time.advance(500);

    assertThat(term.bounds().isStored(WORKER)).isFalse();
    assertThat(isInLedger()).isFalse();
    assertThat(term.bounds().isStored("other")).isTrue();
    assertThat(store.keys(KeyedStream.LEDGER)).contains("lease:other");
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 100})
  void boundStoredAgainWhileItsRemovalIsInFlightSurvives(long inFlightMs) {
    final Host next = terms.new Host();
    Term first = terms.new Host().elect(1);
    first.grantAndStore();
    first.grant();
    time.advance(10);
    first.beat();
    store.answerMs(400);
    remove(first);
    time.advance(inFlightMs);
    first.store();
    time.advance(2_000);
    store.answerMs(4);

    assertThat(first.bounds().isStored(WORKER)).isTrue();
    assertThat(removed).isEmpty();
    assertEndsWithin(next.elect(2), first.trueEndMs(), TOLERANCE_MS);
  }

  @Test
  void boundIsNotStoredAgainRelativeToEachHeartbeat() {
    Term term = terms.new Host().elect(1);
    term.grantAndStore();
    final int before = store.appends();
    term.beat();
    term.store();
    time.advance(50);

    assertThat(store.appends()).isEqualTo(before);
  }

  // The host has not observed the heartbeat that the first record refers to.
  @Test
  void boundStoredAgainRelativeToNewerHeartbeatIsTightForHostStartedSince() {
    Term first = terms.new Host().elect(1);
    first.grantAndStore();
    for (int i = 0; i < 5; i++) {
      first.beat();
      first.store();
    }
    Host late = terms.new Host();
    first.beat();

    long refreshMs = 1_000 + ShardSettings.HEARTBEAT_MS;
    assertEndsWithin(late.elect(2), first.trueEndMs(), refreshMs + TOLERANCE_MS);
  }

  private static final String FORMER_TERMS_KEY = "lease:";

  /** How much later a bound that is stored again and again may end for a host started since. */
  private static final long REFRESH_MS = 1_000 + ShardSettings.HEARTBEAT_MS;

  /** Sends heartbeats for some seconds, and stores the bound of the former terms after each. */
  private static void beatAndStoreFormerTerms(Term term) {
    for (int i = 0; i < 10; i++) {
      term.beat();
      term.bounds().storeFormerTerms();
    }
  }

  @Test
  void boundOfFormerTermsIsTightForHostThatObservedOnlyTheTermThatStoredIt() {
    final Host next = terms.new Host();
    Term first = terms.new Host().elect(1);
    // The host of the first term has itself waited for unknown terms before it.
    time.advance(HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS);
    first.beat();
    first.grant();
    Term second = next.elect(2);
    beatAndStoreFormerTerms(second);
    Host late = terms.new Host();
    second.beat();
    long startedMs = time.nowMs();
    late.onStarted(second.host(), 2);
    Term third = late.elect(3);

    long knownMs = second.formerLeaseEndsMs("other");
    assertThat(startedMs + SimulatedTerms.LEASE_MS).isLessThan(knownMs);
    assertThat(third.formerLeaseEndsMs("other")).isAtLeast(first.trueEndMs());
    assertThat(third.formerLeaseEndsMs("other")).isAtLeast(knownMs);
    assertThat(third.formerLeaseEndsMs("other")).isAtMost(knownMs + REFRESH_MS + TOLERANCE_MS);
    // Shows that the wait without the bound would be longer.
    assertThat(third.formerLeaseEndsMs("other"))
        .isLessThan(startedMs - 500 + HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS);
  }

  @Test
  void boundOfFormerTermsDoesNotEndLeasesOfTheTermThatStoredIt() {
    final Host next = terms.new Host();
    terms.new Host().elect(1).beat();
    Term second = next.elect(2);
    beatAndStoreFormerTerms(second);
    Host late = terms.new Host();
    final long observedMs = time.nowMs();
    second.beat();
    Term third = late.elect(3);

    assertThat(third.formerLeaseEndsMs("other"))
        .isAtLeast(observedMs + HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS);
  }

  @Test
  void boundOfFormerTermsIsNotUsedIfTermAfterItIsUnknown() {
    final Host next = terms.new Host();
    final Host afterNext = terms.new Host();
    terms.new Host().elect(1).beat();
    Term second = next.elect(2);
    beatAndStoreFormerTerms(second);
    second.grant();
    Term third = afterNext.elect(3);
    third.beat();
    Host late = terms.new Host();
    final long observedMs = time.nowMs();
    third.beat();
    late.onStarted(third.host(), 3);
    Term fourth = late.elect(4);

    assertThat(store.keys(KeyedStream.LEDGER)).contains(FORMER_TERMS_KEY);
    assertThat(fourth.formerLeaseEndsMs("other")).isAtLeast(second.trueEndMs());
    assertThat(fourth.formerLeaseEndsMs("other"))
        .isAtLeast(observedMs + HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS);
  }

  @Test
  void boundOfFormerTermsIsNotStoredBeforeHeartbeatSentAfterTheElection() {
    Term term = terms.new Host().elect(1);
    term.bounds().storeFormerTerms();
    time.advance(50);
    assertThat(store.keys(KeyedStream.LEDGER)).doesNotContain(FORMER_TERMS_KEY);

    term.beat();
    term.bounds().storeFormerTerms();
    time.advance(50);
    assertThat(store.keys(KeyedStream.LEDGER)).contains(FORMER_TERMS_KEY);
    assertThat(term.bounds().isStored("")).isFalse();
  }

  @Test
  void boundOfFormerTermsIsStoredAgainUntilItHasPassed() {
    Term term = terms.new Host().elect(1);
    final int before = store.appends();
    for (int i = 0; i < 30; i++) {
      term.beat();
      term.bounds().storeFormerTerms();
    }
    int stored = store.appends() - before;
    // Of 30 heartbeats, which take 12 s, every third one is more than 1 s after the one before.
    assertThat(stored).isEqualTo(10);

    time.advance(HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS);
    term.beat();
    term.bounds().storeFormerTerms();
    time.advance(50);
    final int passed = store.appends();
    beatAndStoreFormerTerms(term);
    time.advance(50);
    assertThat(store.appends()).isEqualTo(passed);
  }
}
