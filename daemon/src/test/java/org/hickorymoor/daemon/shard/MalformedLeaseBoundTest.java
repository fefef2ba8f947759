package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hickorymoor.daemon.shard.SimulatedTerms.WORKER;

import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.shard.SimulatedTerms.Host;
import org.hickorymoor.daemon.shard.SimulatedTerms.Term;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class MalformedLeaseBoundTest {

  private static final String KEY = "lease:" + WORKER;

  private final VirtualTime time = new VirtualTime(17);
  private final FakeStore store = new FakeStore(time);
  private final SimulatedTerms terms = new SimulatedTerms(time, store);
  private boolean removed;

  @ParameterizedTest
  @ValueSource(
      strings = {
        "x",
        "5",
        "5\n",
        "\n5",
        "\n",
        "\n\n",
        // As stored before bounds had an epoch.
        "0\n1",
        "0\n-1",
        "x\n0\n1",
        "\n0\n1",
        "1\n\n1",
        "1\n0\n",
        "1\n-1\n5",
        "1\n0\n-1",
        "1\n0\nx",
        "1\n0\n1.5",
        "1\r\n0\n1",
        "1\n0\r\n1",
        "1\n0\n1\r",
        "1 0 1",
        "1\n0 1",
        "99999999999999999999\n0\n5",
        "1\n99999999999999999999\n5",
        "1\n0\n99999999999999999999",
        "1\n0\n9223372036854775807",
        // The longest remaining time that is accepted is 24704 ms.
        "1\n0\n24705"
      })
  void malformedRecordDoesNotShortenTheWaitAndIsRemovedBeforeRenewal(String value) {
    store.put(KeyedStream.LEDGER, KEY, value.getBytes(UTF_8));
    Host next = terms.new Host();
    terms.new Host().elect(1).beat();
    Term second = next.elect(2);

    assertThat(second.formerLeaseEndsMs(WORKER)).isEqualTo(second.formerLeaseEndsMs("other"));
    assertThat(second.bounds().isStored(WORKER)).isTrue();
    second.bounds().remove(WORKER, () -> removed = true);
    assertThat(second.bounds().isStored(WORKER)).isTrue();
    assertThat(time.advanceUntil(1_000, () -> removed)).isTrue();
    assertThat(second.bounds().isStored(WORKER)).isFalse();
    assertThat(store.keys(KeyedStream.LEDGER)).doesNotContain(KEY);
  }

  // Shows that the malformed records would count if they were well-formed.
  @Test
  void wellFormedRecordShortensTheWait() {
    store.put(KeyedStream.LEDGER, KEY, "1\n0\n1".getBytes(UTF_8));
    Host next = terms.new Host();
    terms.new Host().elect(1).beat();
    Term second = next.elect(2);

    assertThat(second.formerLeaseEndsMs(WORKER)).isLessThan(second.formerLeaseEndsMs("other"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "0\n1", "9\n0\nx", "9\n0\n-1", "9\n-1\n1", "9\n0\n24705"})
  void malformedBoundOfFormerTermsDoesNotChangeTheWait(String value) {
    terms.new Host().elect(9).beat();
    Host late = terms.new Host();
    long startedMs = time.nowMs();
    Term term = late.elect(10);
    long endsMs = term.formerLeaseEndsMs(WORKER);
    term.bounds().restore("lease:", value.getBytes(UTF_8));

    assertThat(term.formerLeaseEndsMs(WORKER)).isEqualTo(endsMs);
    assertThat(endsMs).isAtLeast(startedMs + HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS);
    assertThat(term.bounds().isStored("")).isFalse();
  }

  @Test
  void recordThatIsNoTextDoesNotThrow() {
    Term term = terms.new Host().elect(1);
    term.bounds().restore(KEY, new byte[] {(byte) 0xff, 0, '\n', (byte) 0xc3});
    term.bounds().restore(KEY, new byte[0]);

    assertThat(term.formerLeaseEndsMs(WORKER)).isEqualTo(term.formerLeaseEndsMs("other"));
  }

  @Test
  void malformedRecordIsReplacedByTheBoundThatTheSuccessorKnows() {
    store.put(KeyedStream.LEDGER, KEY, "x".getBytes(UTF_8));
    final Host last = terms.new Host();
    Host next = terms.new Host();
    terms.new Host().elect(1).beat();
    Term second = next.elect(2);
    for (int i = 0; i < 5; i++) {
      second.beat();
      second.bounds().storeFormer(WORKER);
    }
    time.advance(50);

    Term third = last.elect(3);
    assertThat(third.formerLeaseEndsMs(WORKER)).isAtLeast(second.formerLeaseEndsMs("other"));
    assertThat(third.formerLeaseEndsMs(WORKER)).isLessThan(third.formerLeaseEndsMs("other"));
  }

  // Former leases have ended when the record is read, so that the sum of both times overflows.
  @Test
  void endBeyondTheRangeOfTheClockDoesNotLengthenTheWait() {
    store.put(KeyedStream.LEDGER, KEY, ("1\n9\n" + Long.MAX_VALUE).getBytes(UTF_8));
    Host next = terms.new Host();
    terms.new Host().elect(1).beat();
    next.sendHeartbeat(2);
    time.advance(20_000);
    Term second = terms.new Term(next, 2);
    time.advance(50);

    assertThat(second.formerLeaseEndsMs(WORKER)).isEqualTo(second.formerLeaseEndsMs("other"));
  }
}
