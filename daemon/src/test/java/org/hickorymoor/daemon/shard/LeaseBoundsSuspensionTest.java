package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.hickorymoor.daemon.shard.SimulatedTerms.APPEND_MS;
import static org.hickorymoor.daemon.shard.SimulatedTerms.WORKER;

import java.util.List;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.shard.SimulatedTerms.Host;
import org.hickorymoor.daemon.shard.SimulatedTerms.Term;
import org.junit.jupiter.api.Test;

final class LeaseBoundsSuspensionTest {

  private final VirtualTime time = new VirtualTime(19);
  private final FakeStore store = new FakeStore(time);
  private final SimulatedTerms terms = new SimulatedTerms(time, store);

  private boolean isInLedger() {
    return store.keys(KeyedStream.LEDGER).contains("lease:" + WORKER);
  }

  // The clock stands still during the suspension, so that both times are equal.
  @Test
  void heartbeatSentBeforeSuspensionThatEndsWithTheGrantDoesNotCount() {
    Term term = terms.new Host().elect(1);
    term.sendHeartbeat();
    term.host().suspend();
    term.grant();
    time.advance(50);
    term.store();
    time.advance(50);

    assertThat(isInLedger()).isFalse();
  }

  @Test
  void suspendedCoordinatorStoresNoBoundThatIsTooEarly() {
    for (int suspensions = 0; suspensions < 1 << 9; suspensions++) {
      new LeaseBoundsSuspensionTest().runSuspended(suspensions);
    }
  }

  /** Suspends the coordinator before each step whose bit is set. */
  private void runSuspended(int suspensions) {
    Host next = terms.new Host();
    Term first = terms.new Host().elect(1);
    List<Runnable> steps =
        List.of(
            first::sendHeartbeat,
            () -> time.advance(APPEND_MS + 1),
            first::grant,
            first::store,
            () -> time.advance(1),
            first::sendHeartbeat,
            () -> time.advance(APPEND_MS + 1),
            first::store,
            () -> time.advance(50));
    for (int i = 0; i < steps.size(); i++) {
      if ((suspensions >> i & 1) == 1) {
        first.host().suspend();
      }
      steps.get(i).run();
    }

    assertWithMessage("stored, suspensions %s", suspensions).that(isInLedger()).isTrue();
    assertWithMessage("end, suspensions %s", suspensions)
        .that(next.elect(2).formerLeaseEndsMs(WORKER))
        .isAtLeast(first.trueEndMs());
  }
}
